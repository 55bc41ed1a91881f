"""Detection and replacement of primaries with external promotion.

Promotions are performed by another system, the `PromotionAuthority`.
"""

from chivescale.promotion._authority import OrderOutcome, PromotionAuthority
from chivescale.promotion._choice import Candidate, choose_successor
from chivescale.promotion._detector import PrimaryDetector, Verdict

__all__ = [
    "Candidate",
    "OrderOutcome",
    "PrimaryDetector",
    "PromotionAuthority",
    "Verdict",
    "choose_successor",
]
