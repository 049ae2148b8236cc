"""Bounds of the numbers that other programs write.

A number within them can be sent to other daemons, which takes at most 64 bits,
and can be calculated with. Decoders refuse what is beyond.
"""

from typing import Annotated

import msgspec

INTEGER_MAX = 2**63 - 1
FLOAT_MAX = 1e300
AGE_MAX_MS = 10**12
TRIALS_MAX = 10**9
# Eras have at most this many digits.
ERA_DIGITS_MAX = 15

# Versions, counts and tokens.
Count = Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]
# How long ago something was, or how long it still lasts.
AgeMs = Annotated[int, msgspec.Meta(ge=0, le=AGE_MAX_MS)]
# A time that may be over, in fractions of a millisecond.
LeftMs = Annotated[float, msgspec.Meta(ge=-AGE_MAX_MS, le=AGE_MAX_MS)]
Trials = Annotated[int, msgspec.Meta(ge=0, le=TRIALS_MAX)]
Era = Annotated[int, msgspec.Meta(ge=0, lt=10**ERA_DIGITS_MAX)]
# These two types exclude infinities and NaN.
Finite = Annotated[float, msgspec.Meta(ge=-FLOAT_MAX, le=FLOAT_MAX)]
NotNegative = Annotated[float, msgspec.Meta(ge=0, le=FLOAT_MAX)]
