"""Socket addresses."""

import dataclasses
import ipaddress

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


class AddressInvalid(ValueError):
    """The text is not ``IP:PORT``."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """IP address and port.

    Attributes
    ----------
    ip : str
        IPv4 or IPv6 address, without brackets.
    port : int
        From 1 to 65535.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"

    def conflicts_with(self, other: "Address") -> bool:
        """Return whether one machine cannot listen on both addresses."""
        if self.port != other.port:
            return False
        if self.ip == other.ip:
            return True
        return any(ipaddress.ip_address(a.ip).is_unspecified for a in (self, other))


def parse_address(text: str) -> Address:
    """Parse ``"127.0.0.1:8401"`` or ``"[::1]:8401"``.

    Parameters
    ----------
    text : str
        IP address and port; host names are not resolved.

    Returns
    -------
    Address
        The parsed address.

    Raises
    ------
    AddressInvalid
        The text is not a valid ``IP:PORT``.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit():
        raise AddressInvalid("expected IP:PORT, such as 127.0.0.1:8401")
    if len(port) > MAX_PORT_DIGITS or not 1 <= int(port) <= MAX_PORT:
        raise AddressInvalid(f"port must be from 1 to {MAX_PORT}")
    ip = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        parsed_ip = ipaddress.ip_address(ip)
    except ValueError:
        raise AddressInvalid("expected an IP number before the port") from None
    if parsed_ip.version == 6 and ip == host:
        raise AddressInvalid("write an IPv6 number in brackets, [::1]:8401")
    return Address(ip=ip, port=int(port))


def parse_connectable(text: str) -> Address:
    """Parse the address of one machine, to which connections can be made.

    Raises
    ------
    AddressInvalid
        The text is not a valid ``IP:PORT``, or names no single machine.
    """
    address = parse_address(text)
    ip = ipaddress.ip_address(address.ip)
    if ip.is_unspecified or ip.is_multicast:
        raise AddressInvalid(f"{ip} is not the address of a machine")
    return address
