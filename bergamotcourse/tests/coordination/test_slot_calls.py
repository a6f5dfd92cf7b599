from bergamotcourse.coordination.slot_calls import (
    REQUEST_LIFETIME_SECONDS,
    SlotNoticeRequests,
)

NOW = 100.0


class TestSlotNoticeRequests:
    def test_oldest_request_is_returned_first_and_only_once(self):
        notices = SlotNoticeRequests()
        notices.update("voting", "a", True, NOW)
        notices.update("voting", "b", True, NOW)
        returned = [notices.pop_next("voting", "c", NOW) for _ in range(3)]
        assert returned == ["a", "b", None]

    def test_no_entry_is_notified_if_entry_of_ended_task_has_request(self):
        notices = SlotNoticeRequests()
        for entry in "ab":
            notices.update("voting", entry, True, NOW)
        assert notices.pop_next("voting", "b", NOW) is None

    def test_request_is_withdrawn_by_later_start_and_expires(self):
        notices = SlotNoticeRequests()
        notices.update("voting", "a", True, NOW)
        notices.update("voting", "a", False, NOW)
        notices.update("voting", "b", True, NOW)
        assert (
            notices.pop_next("voting", "c", NOW + 1.1 * REQUEST_LIFETIME_SECONDS)
            is None
        )

    def test_request_for_other_service_is_not_returned(self):
        notices = SlotNoticeRequests()
        notices.update("voting", "a", True, NOW)
        assert notices.pop_next("tally", "c", NOW) is None
