"""Order of the changes of a store that may come back from an older copy.

After such a return the store gives out revision numbers again, in a new era. Changes are ordered by era first.
"""

from dataclasses import dataclass

#: Bits of the number and of the era in a packed revision, which fits the integers of messages.
_NUMBER_BITS = 48
_ERA_BITS = 15
#: Largest number and largest era of a revision.
MAX_NUMBER = (1 << _NUMBER_BITS) - 1
MAX_ERA = (1 << _ERA_BITS) - 1


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """Position in the changes of the store.

    Parameters
    ----------
    era : int
        Number of times that the store came back from an older copy, as it counts them; 0 if unknown.
    number : int
        Revision number within the era.

    Examples
    --------
    >>> Revision(1, 900) < Revision(2, 30)
    True
    """

    era: int
    number: int

    def pack(self) -> int:
        """Return the revision as one integer of the same order; without an era it is the number.

        Examples
        --------
        >>> Revision(0, 7).pack(), Revision(1, 7).pack() > Revision(0, MAX_NUMBER).pack()
        (7, True)
        """
        return (self.era << _NUMBER_BITS) | self.number


#: Revision before all others.
ORIGIN = Revision(0, 0)


def unpack_revision(packed: int) -> Revision:
    """Return the revision of a packed integer; one from a process that does not know eras has era 0.

    Examples
    --------
    >>> unpack_revision(Revision(3, 12).pack())
    Revision(era=3, number=12)
    """
    return Revision(packed >> _NUMBER_BITS, packed & MAX_NUMBER)
