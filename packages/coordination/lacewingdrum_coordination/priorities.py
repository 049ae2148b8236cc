"""Queueing priorities of the length classes; a lower number runs first."""

from lacewingdrum_state import requests, states

PRIORITY_OF_LENGTH_CLASS = {
    states.LengthClass.SHORT: 0,
    states.LengthClass.MID: 1,
    states.LengthClass.LONG: 2,
}
SHORT = 0
MID = 1
LONG = 2


def of_prompt(prompt_tokens: int) -> int:
    """Return the priority of a prompt of this length."""
    return PRIORITY_OF_LENGTH_CLASS[requests.length_class(prompt_tokens)]
