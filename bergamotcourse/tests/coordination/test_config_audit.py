from dataclasses import replace

import msgspec
import pytest

from bergamotcourse.coordination.config_audit import (
    AuditBroken,
    AuditFilter,
    AuditIntact,
    read_audit,
    verify_audit,
)
from bergamotcourse.coordination.config_rows import record_key
from bergamotcourse.ids import ConfigVersion
from bergamotcourse.protocol.platform import Write
from bergamotcourse.standins.platform_store import MemoryPlatform
from bergamotcourse.state import config_record
from bergamotcourse.state.config_record import Record, encode_record, with_record_hash
from bergamotcourse.tests.configs import accept, accept_releases, make_manifest, run


async def overwrite_record(platform, version, value):
    key = record_key(ConfigVersion(version))
    await platform.transact([Write(key, value, None)])


async def stored_record(platform, version):
    key = record_key(ConfigVersion(version))
    (row,) = (await platform.get([key])).ok
    return msgspec.json.decode(row.value, type=Record)


class TestReadAudit:
    @pytest.mark.parametrize(
        ("wanted", "versions"),
        [
            (AuditFilter(), [1, 2, 3]),
            (AuditFilter(who="jon"), [3]),
            (AuditFilter(path="teams."), [1, 3]),
            (AuditFilter(first=ConfigVersion(2), last=ConfigVersion(9)), [2, 3]),
            (AuditFilter(since="2027"), []),
        ],
    )
    def test_returns_only_records_that_match_the_filter(self, wanted, versions):
        async def main():
            platform = MemoryPlatform()
            await accept_releases(platform, 2)
            await accept(platform, make_manifest("r2", weight=7.0), 2, "jon")
            records = (await read_audit(platform, wanted)).ok
            assert [record.version for record in records] == versions

        run(main)


class TestVerifyAudit:
    def verdict(self, tamper):
        async def main():
            platform = MemoryPlatform()
            await accept_releases(platform, 4)
            await tamper(platform)
            return (await verify_audit(platform)).ok

        return run(main)

    def test_intact_trail_is_verified(self):
        async def nothing(platform):
            pass

        assert self.verdict(nothing) == AuditIntact(ConfigVersion(4))

    def test_records_without_changes_are_verified_by_full_manifests(self, monkeypatch):
        monkeypatch.setattr(config_record, "MAX_DELTA_BYTES", 0)

        async def nothing(platform):
            assert (await stored_record(platform, 1)).changes is None

        assert self.verdict(nothing) == AuditIntact(ConfigVersion(4))

    def test_reports_first_missing_record(self):
        async def tamper(platform):
            await overwrite_record(platform, 2, None)
            await overwrite_record(platform, 3, None)

        verdict = self.verdict(tamper)
        assert verdict == AuditBroken(ConfigVersion(2), "the record is missing")

    def test_reports_altered_record(self):
        async def tamper(platform):
            record = await stored_record(platform, 3)
            altered = encode_record(replace(record, who="jon"))
            await overwrite_record(platform, 3, altered)

        verdict = self.verdict(tamper)
        assert verdict == AuditBroken(ConfigVersion(3), "the record was altered")

    def test_rehashed_record_is_detected_at_its_successor(self):
        async def tamper(platform):
            record = await stored_record(platform, 2)
            forged = with_record_hash(replace(record, who="jon"))
            await overwrite_record(platform, 2, encode_record(forged))

        detail = "the record does not follow the one before"
        assert self.verdict(tamper) == AuditBroken(ConfigVersion(3), detail)

    def test_rehashed_last_record_is_detected_by_the_head(self):
        async def tamper(platform):
            record = await stored_record(platform, 4)
            forged = with_record_hash(replace(record, who="jon"))
            await overwrite_record(platform, 4, encode_record(forged))

        detail = "the head names another record"
        assert self.verdict(tamper) == AuditBroken(ConfigVersion(4), detail)
