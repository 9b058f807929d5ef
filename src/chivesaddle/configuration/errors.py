"""Errors of the configuration service and of stored prompts."""

from chivesaddle.core.errors import ChivesaddleError


class PlanNotFound(ChivesaddleError):
    """No plan has this id, or the plan was outdated and has been deleted."""

    code = "plan_not_found"
    status = 404


class PlanOutdated(ChivesaddleError):
    """The configuration changed after the plan was computed; nothing was written."""

    code = "plan_outdated"
    status = 409


class NoMajorityContact(ChivesaddleError):
    """No recent contact with a majority of the daemons; nothing was written."""

    code = "no_majority_contact"
    status = 503


class ConfirmOutcomeUnknown(ChivesaddleError):
    """The write was sent and may have taken effect; the platform does not respond."""

    code = "confirm_outcome_unknown"
    status = 503


class ChangesCompacted(ChivesaddleError):
    """Changes after a revision are no longer stored; a snapshot is needed."""

    code = "changes_compacted"
    status = 410


class RevisionGap(ChivesaddleError):
    """A change does not directly follow the active revision."""

    code = "revision_gap"


class PromptNotFound(ChivesaddleError):
    """The account has no stored prompt with this id."""

    code = "prompt_not_found"
    status = 404


__all__ = [
    "ChangesCompacted",
    "ConfirmOutcomeUnknown",
    "NoMajorityContact",
    "PlanNotFound",
    "PlanOutdated",
    "PromptNotFound",
    "RevisionGap",
]
