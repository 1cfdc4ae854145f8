"""Advice on which workers may run a step, where a queue's policy asks for it."""

from zinniatrestle.advice.cache import AdviceCache
from zinniatrestle.advice.interfaces import Adviser, AdviserError

__all__ = ["AdviceCache", "Adviser", "AdviserError"]
