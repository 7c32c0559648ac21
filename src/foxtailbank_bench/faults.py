"""Base class for the injectable faults of a stand-in."""

import msgspec


class Faults(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Faults, or a change to them; None means no change."""

    def apply(self, change: "Faults") -> None:
        """Set the faults that a change gives a value for.

        Parameters
        ----------
        change : Faults
            Change, of the same type as this object.
        """
        for name in self.__struct_fields__:
            value = getattr(change, name)
            if value is not None:
                setattr(self, name, value)
