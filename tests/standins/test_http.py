import json

import httpx
import pytest

from chivesaddle.standins.blocks import block_keys, checksum
from chivesaddle.standins.expected import expected_text
from chivesaddle.tools import kursuskoda as layout
from chivesaddle.tools.fleet import Fleet
from chivesaddle.tools.processes import wait_until

SALT = "0a" * 16
PROMPT = "course handbook " * 256


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Fakes as real processes, without daemons."""
    with Fleet(tmp_path_factory.mktemp("build"), daemons=0) as running:
        yield running


@pytest.fixture
def engine(fleet):
    return fleet.urls_by_name["engine-1"]


@pytest.fixture
def store(fleet):
    return fleet.urls_by_name["store-1"]


def request_completion(engine, request_id, **fields):
    body = {
        "model": layout.MODEL,
        "prompt": PROMPT,
        "max_tokens": 4,
        "request_id": request_id,
        "cache_salt": SALT,
        **fields,
    }
    return httpx.post(f"{engine}/v1/completions", json=body, timeout=30)


class TestEngineOverHttp:
    def test_blocks_exported_to_a_store_are_reused_after_eviction(
        self, fleet, engine, store
    ):
        expected = expected_text(layout.MODEL, layout.WEIGHT_VERSION, PROMPT, 4)
        first = request_completion(engine, "export-1").json()
        keys = block_keys(SALT, PROMPT.encode())
        transfer = {"cache_salt": SALT, "block_keys": keys}
        exported = httpx.post(
            f"{engine}/kv/exports", json={**transfer, "target": store}
        )
        record = {"scope": SALT, "tokens": 1_024, **exported.json()}
        put = httpx.put(f"{store}/manifests/{keys[-1]}", json=record)
        assert put.json()["tier"] == "memory"
        httpx.post(f"{engine}/control/evict", json={})
        staged = httpx.post(
            f"{engine}/kv/imports", json={**transfer, "source": store, "import_id": "i"}
        )
        assert staged.json() == exported.json()
        httpx.post(f"{engine}/kv/imports/i/commit")
        again = request_completion(engine, "export-2").json()
        assert again["usage"]["prompt_tokens_details"]["cached_tokens"] == 1_024
        assert [a["choices"][0]["text"] for a in (first, again)] == [expected] * 2

    def test_cut_stream_resumes_at_the_next_token(self, fleet, engine):
        fleet.set_faults("engine-1", cut_next=1, cut_after_tokens=2)
        with pytest.raises(httpx.RemoteProtocolError):
            request_completion(engine, "cut", stream=True)
        resumed = httpx.get(
            f"{engine}/v1/streams/cut?after=2", headers={"X-Cache-Salt": SALT}
        )
        events = [line[6:] for line in resumed.text.splitlines() if line]
        assert events[-1] == "[DONE]"
        chunks = [json.loads(event) for event in events[:-1]]
        assert [chunk["token_index"] for chunk in chunks] == [2, 3, 4]
        expected = expected_text(layout.MODEL, layout.WEIGHT_VERSION, PROMPT, 4)
        start = expected_text(layout.MODEL, layout.WEIGHT_VERSION, PROMPT, 2)
        text = "".join(chunk["choices"][0]["text"] for chunk in chunks)
        assert start + text == expected

    def test_block_freed_during_an_export_is_reported(self, fleet, engine, store):
        request_completion(engine, "freed")
        fleet.set_faults("engine-1", free_in_export_next=1)
        keys = block_keys(SALT, PROMPT.encode())
        body = {"cache_salt": SALT, "block_keys": keys, "target": store}
        assert httpx.post(f"{engine}/kv/exports", json=body).status_code == 409

    def test_corrupt_import_changes_the_reported_checksum(self, fleet, engine, store):
        request_completion(engine, "corrupt")
        keys = block_keys(SALT, PROMPT.encode())
        body = {"cache_salt": SALT, "block_keys": keys}
        sent = httpx.post(f"{engine}/kv/exports", json={**body, "target": store}).json()
        fleet.set_faults("engine-1", corrupt_import_next=1)
        staged = httpx.post(
            f"{engine}/kv/imports", json={**body, "source": store, "import_id": "c"}
        ).json()
        assert staged["blocks"][0]["checksum"] != sent["blocks"][0]["checksum"]
        assert staged["blocks"][1:] == sent["blocks"][1:]

    def test_ordered_version_is_read_from_the_weight_store_once(self, fleet):
        url = fleet.urls_by_name["engine-2"]
        order = {"fence": 1, "order": "load_version", "version": "v2"}
        for _ in range(2):
            response = httpx.post(
                f"{url}/orders",
                json={**order, "model": layout.MODEL},
                timeout=30,
            )
            assert response.status_code == 200
        state = httpx.get(f"{url}/state").json()
        assert state["models"] == {layout.MODEL: ["v1", "v2"]}
        assert fleet.counters("weights")["link_bytes"] == 1 << 20

    def test_delayed_order_is_dropped_after_a_later_one(self, fleet):
        """Guards against an engine that checks fencing but applies a stale order."""
        url = fleet.urls_by_name["engine-3"]
        fleet.set_faults("engine-3", order_delay_s=0.3)
        delayed_order = {"fence": 1, "order": "set_role", "role": "prefill"}
        assert httpx.post(f"{url}/orders", json=delayed_order).status_code == 200
        fleet.set_faults("engine-3")
        later_order = {"fence": 2, "order": "set_role", "role": "decode"}
        httpx.post(f"{url}/orders", json=later_order)
        assert wait_until(
            lambda: fleet.counters("engine-3").get("dropped_orders") == 1, 30
        )
        assert httpx.get(f"{url}/state").json()["role"] == "decode"

    def test_prompt_with_crash_marker_ends_the_process(self, fleet):
        fleet.set_faults("engine-4", crash_marker="BOOM")
        with pytest.raises(httpx.HTTPError):
            request_completion(fleet.urls_by_name["engine-4"], "crash", prompt="BOOM")
        fleet.restart("engine-4")
        assert (
            request_completion(fleet.urls_by_name["engine-4"], "after").status_code
            == 200
        )


class TestStoreOverHttp:
    def test_store_process_ends_after_the_set_number_of_transfers(self, fleet):
        url = f"{fleet.urls_by_name['store-2']}/blocks"
        headers = {"X-Length": "1", "X-Checksum": checksum(b"x")}
        fleet.set_faults("store-2", die_after_blocks=1)
        assert httpx.put(f"{url}/a", content=b"x", headers=headers).status_code == 200
        with pytest.raises(httpx.HTTPError):
            httpx.put(f"{url}/b", content=b"x", headers=headers)
        fleet.restart("store-2")
        assert httpx.get(f"{url}/a").status_code == 404


class TestObjectApiOverHttp:
    @pytest.fixture
    def url(self, fleet):
        fleet.set_faults("object-api")
        return f"{fleet.urls_by_name['object-api']}/objects"

    def test_writes_are_conditional_on_a_revision(self, url):
        name = "zone-reader/tartu-a"
        object_url = f"{url}/leases/zone-reader%2Ftartu-a"

        def body(term, **metadata):
            return {
                "metadata": {"name": name, **metadata},
                "specification": {"term": term},
            }

        created = httpx.post(f"{url}/leases", json=body(1))
        assert httpx.post(f"{url}/leases", json=body(1)).status_code == 409
        revision = created.json()["metadata"]["revision"]
        second = body(2, revision=revision)
        assert httpx.put(object_url, json=second).status_code == 200
        third = body(3, revision=revision)
        assert httpx.put(object_url, json=third).status_code == 409
        assert httpx.get(object_url).json()["specification"] == {"term": 2}
        listed = httpx.get(f"{url}/leases").json()["items"]
        assert [item["metadata"]["name"] for item in listed] == [name]

    def test_lost_response_closes_the_connection_after_the_write(self, fleet, url):
        fleet.set_faults("object-api", writes=["lost_after_effect"])
        with pytest.raises(httpx.HTTPError):
            httpx.post(
                f"{url}/k",
                json={"metadata": {"name": "lost"}, "specification": {"x": 1}},
            )
        assert httpx.get(f"{url}/k/lost").json()["specification"] == {"x": 1}

    def test_outage_returns_503(self, fleet, url):
        fleet.set_faults("object-api", outage=True)
        assert httpx.get(f"{url}/k/any").status_code == 503

    def test_silenced_connection_never_responds_while_new_ones_do(self, fleet, url):
        """Guards against a fault that makes new connections silent as well."""
        with httpx.Client(timeout=30) as client:
            assert client.get(f"{url}/k").status_code == 200
            fleet.set_faults("object-api", silent_connections=True)
            with pytest.raises(httpx.TimeoutException):
                client.get(f"{url}/k", timeout=0.3)
        assert httpx.get(f"{url}/k").status_code == 200

    def test_unknown_fault_switch_is_refused(self, fleet, url):
        with pytest.raises(httpx.HTTPStatusError, match="400"):
            fleet.set_faults("object-api", no_such_switch=True)


class TestBookingOverHttp:
    @pytest.fixture
    def url(self, fleet):
        return fleet.urls_by_name["booking-3"]

    def count_runs(self, url):
        return len(httpx.get(f"{url}/control/log").json()["runs"])

    def reserve_seat(self, url):
        return httpx.post(f"{url}/operations/reserve_seat", json={"course": "c"})

    def test_reservation_is_known_at_every_url_of_the_service(self, fleet, url):
        """Guards against reservations that another instance reports as missing."""
        booking = {"booking_id": self.reserve_seat(url).json()["booking_id"]}
        other = fleet.urls_by_name["booking-1"]
        found = httpx.post(f"{other}/operations/check_reservation", json=booking)
        assert found.json()["reserved"]

    def test_frozen_service_runs_abandoned_requests_later(self, fleet, url):
        """Guards against a fake without late runs, which would hide double bookings."""
        before = self.count_runs(url)
        fleet.set_faults("booking-3", frozen=True)
        with pytest.raises(httpx.TimeoutException):
            httpx.post(f"{url}/operations/reserve_seat", json={}, timeout=2)
        assert self.count_runs(url) == before
        fleet.set_faults("booking-3")
        assert wait_until(lambda: self.count_runs(url) == before + 1, 30)

    @pytest.mark.parametrize(
        ("switch", "expected_runs"),
        [("lose_before_run_next", 0), ("lose_answer_next", 1)],
    )
    def test_lost_response_before_or_after_the_run(
        self, fleet, url, switch, expected_runs
    ):
        before = self.count_runs(url)
        fleet.set_faults("booking-3", **{switch: 1})
        with pytest.raises(httpx.HTTPError):
            self.reserve_seat(url)
        assert self.count_runs(url) == before + expected_runs
        assert self.reserve_seat(url).status_code == 200
