"""Changes of a stand-in's faults."""

import msgspec


class Faults(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Faults that control calls change one by one; None leaves one as it is."""

    def apply(self, change: "Faults") -> None:
        """Take over what a change names.

        Parameters
        ----------
        change : Faults
            Of the same type.
        """
        for name in self.__struct_fields__:
            value = getattr(change, name)
            if value is not None:
                setattr(self, name, value)
