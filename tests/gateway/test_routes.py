import pytest

from chivesaddle.core.aio import start
from chivesaddle.gateway.http_limits import MAX_BODY_BYTES


class TestAuthentication:
    @pytest.mark.parametrize("key", [None, "", "wrong", "key-Tartu", "\u0142"])
    def test_missing_or_wrong_key_is_rejected(self, complete, fakes, key):
        caller = complete(key=key)
        assert (caller.response.status, caller.error_code) == (401, "invalid_api_key")
        assert not fakes.engines.request_bodies

    def test_key_digest_is_not_accepted_as_a_key(self, call, fakes):
        """Guards against a leaked configuration giving access."""
        account = fakes.dependencies().config.state.accounts_by_id["tartu"]
        caller = call("GET", "/v1/models", key=account.key_sha256[0])
        assert caller.response.status == 401


class TestValidation:
    @pytest.mark.parametrize(
        "body",
        [b"{", b"[]", b'{"a": NaN}', b"\xff", b"[" * 100_000],
        ids=["cut", "list", "nan", "not-utf-8", "deep"],
    )
    def test_invalid_json_is_rejected(self, call, body):
        caller = call("POST", "/v1/completions", body)
        assert (caller.response.status, caller.error_code) == (400, "invalid_value")

    @pytest.mark.parametrize(
        ("field", "value"),
        [("max_tokens", 0), ("n", 2), ("temperature", 3), ("prompt", 7)],
    )
    def test_error_names_the_invalid_field(self, complete, field, value):
        caller = complete(**{field: value})
        assert caller.response.status == 400
        assert caller.json["error"]["param"] == field

    def test_unknown_fields_are_passed_on_and_reserved_ones_are_not(
        self, complete, fakes
    ):
        """Guards against callers choosing a cache scope, version or priority."""
        reserved = {"cache_salt": "x", "weight_version": "x", "request_id": "x"}
        reserved |= {"priority": -5, "resume_text": "x"}
        complete(seed=7, guided_json={"a": 1}, **reserved)
        sent = fakes.engines.request_bodies[0]
        assert (sent["seed"], sent["guided_json"]) == (7, {"a": 1})
        assert "x" not in [sent[k] for k in reserved if k in sent]
        assert (sent["weight_version"], sent["priority"]) == ("v1", 0)
        assert "resume_text" not in sent

    def test_lone_surrogates_cause_no_internal_error(self, call):
        body = b'{"model": "m", "prompt": "\\ud800"}'
        assert call("POST", "/v1/completions", body).response.status in (200, 400)

    def test_batch_requests_have_low_priority(self, complete, fakes):
        complete(X_Priority="batch")
        assert fakes.engines.request_bodies[0]["priority"] == 1
        assert not fakes.router.requests[0].interactive

    def test_an_unknown_model_or_adapter_is_not_found(self, complete):
        assert complete(model="x").error_code == "model_not_found"
        assert complete(adapter="x").error_code == "model_not_found"
        assert complete(adapter="et").response.status == 200

    def test_fingerprint_is_equal_for_equal_content_of_one_account(
        self, complete, fakes
    ):
        complete(seed=1)
        complete(seed=1, stream=True)
        complete(seed=2)
        complete(seed=1, key="key-tallinn")
        fingerprints = [r.fingerprint for r in fakes.router.requests]
        assert fingerprints[0] == fingerprints[1]
        assert len(set(fingerprints)) == 3


class TestLimits:
    def test_body_with_too_large_content_length_is_rejected_unread(self, connect):
        caller = connect()
        caller.channel.dataReceived(
            b"POST /v1/completions HTTP/1.1\r\nHost: d\r\n"
            b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
        )
        assert (caller.response.status, caller.error_code) == (413, "body_too_large")
        assert not caller.transport.connected

    @pytest.mark.parametrize(
        "raw",
        [
            b"GET /v1/requests/%ff/stream HTTP/1.1\r\nHost: d",
            b"GET /healthz HTTP/1.1\r\nHost: \xff",
        ],
    )
    def test_path_or_host_that_is_not_utf8_gives_a_typed_error(self, connect, raw):
        """Guards against klein's untyped error response and against a traceback."""
        caller = connect()
        caller.channel.dataReceived(raw + b"\r\n\r\n")
        assert (caller.response.status, caller.error_code) == (400, "invalid_value")

    def test_chunked_body_is_rejected_at_the_size_limit(self, connect, fakes):
        """Guards against a chunked body that exhausts the memory."""
        caller = connect()
        caller.channel.dataReceived(
            b"POST /v1/completions HTTP/1.1\r\nHost: d\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        part = b"%x\r\n%s\r\n" % (1 << 20, b"x" * (1 << 20))
        for _ in range(5):
            if caller.transport.connected:
                caller.channel.dataReceived(part)
        assert caller.response.status == 413
        assert not caller.transport.connected

    @pytest.mark.parametrize("sent", [b"POST /v1/co", b"POST / HTTP/1.1\r\nA: b\r\n"])
    def test_incomplete_headers_time_out(self, connect, clock, sent):
        """Guards against connections held open by sending one byte at a time."""
        caller = connect()
        caller.channel.dataReceived(sent)
        for _ in range(9):
            clock.advance(1)
            caller.channel.dataReceived(b"x")
        assert caller.transport.connected
        clock.advance(1)
        assert caller.response.status == 408
        assert not caller.transport.connected

    def test_incomplete_body_times_out(self, connect, clock, fakes):
        caller = connect()
        caller.channel.dataReceived(
            b"POST /v1/completions HTTP/1.1\r\nHost: d\r\nContent-Length: 9\r\n\r\nab"
        )
        clock.advance(10)
        assert caller.response.status == 408

    def test_read_timeout_does_not_apply_while_a_request_is_served(
        self, call, fakes, scripted, clock
    ):
        """Guards against counting the time to serve a request as read time."""
        fakes.actions.pending_call = scripted.unresolved()
        caller = call("POST", "/v1/services/seats/check", {})
        clock.pump([1.0] * 15)
        assert caller.transport.connected
        fakes.actions.pending_call.callback(None)
        assert caller.response.status == 200

    def test_rate_limited_account_gets_a_retry_time(self, complete, fakes):
        fakes.router.rate_limited_for_s = 2.5
        caller = complete()
        assert (caller.response.status, caller.error_code) == (
            429,
            "rate_limit_exceeded",
        )
        assert caller.response.headers["retry-after"] == "3"


class TestPrompts:
    def test_stored_prompt_is_inserted_before_the_prompt(self, complete, fakes):
        complete(prompt_id="p1")
        assert fakes.engines.request_bodies[0]["prompt"] == "Handbook. p"
        assert "prompt_id" not in fakes.engines.request_bodies[0]

    def test_stored_prompt_is_inserted_before_the_first_message(self, call, fakes):
        messages = [{"role": "user", "content": "hi"}]
        body = {"model": "m", "messages": messages, "prompt_id": "p1"}
        call("POST", "/v1/chat/completions", body)
        stored = {"role": "system", "content": "Handbook. "}
        assert fakes.engines.request_bodies[0]["messages"] == [stored, *messages]

    @pytest.mark.fault("whole_answer", step="stored prompt")
    def test_another_accounts_prompt_is_not_found(self, complete, call, fakes):
        """Guards against one account using, reading or deleting another's prompt."""
        other = {"key": "key-tallinn"}
        assert complete(prompt_id="p1", **other).response.status == 404
        assert call("GET", "/v1/prompts/p1", **other).response.status == 404
        assert call("DELETE", "/v1/prompts/p1", **other).response.status == 404
        assert call("GET", "/v1/prompts", **other).json["data"] == []
        assert ("tartu", "p1") in fakes.prompts.texts

    def test_prompts_are_created_listed_read_and_deleted(self, call):
        created = call("POST", "/v1/prompts", {"text": "T"})
        assert (created.response.status, created.json["id"]) == (201, "p2")
        assert call("GET", "/v1/prompts/p2").json["text"] == "T"
        assert len(call("GET", "/v1/prompts").json["data"]) == 2
        assert call("DELETE", "/v1/prompts/p2").json["deleted"]
        assert call("GET", "/v1/prompts/p2").response.status == 404


class TestServices:
    def test_a_non_repeatable_operation_needs_a_key(self, call, fakes):
        caller = call("POST", "/v1/services/seats/reserve", {"seat": 4})
        assert caller.response.status == 400
        assert caller.error_code == "idempotency_key_required"
        assert not fakes.actions.calls

    def test_operation_with_a_key_returns_its_outcome(self, call, fakes):
        path = "/v1/services/seats/reserve"
        caller = call("POST", path, {"seat": 4}, Idempotency_Key="k1")
        assert (caller.response.status, caller.json) == (200, {"seat": 4})
        assert caller.response.headers["x-action-state"] == "done"
        assert fakes.actions.calls[0][:2] == ("tartu", "k1")

    def test_a_repeatable_operation_needs_no_key(self, call, fakes):
        call("POST", "/v1/services/seats/check", {})
        assert fakes.actions.calls[0][1] is None

    def test_unknown_services_and_operations_are_not_found(self, call):
        assert call("POST", "/v1/services/x/check", {}).response.status == 404
        assert call("POST", "/v1/services/seats/x", {}).response.status == 404

    def test_disconnect_does_not_stop_a_running_action(
        self, call, fakes, scripted, api
    ):
        """Guards against an action that is recorded but never sent."""
        fakes.actions.pending_call = scripted.unresolved()
        path = "/v1/services/seats/reserve"
        caller = call("POST", path, {}, Idempotency_Key="k1")
        caller.transport.loseConnection()
        assert api.drain.in_flight == 1
        fakes.actions.pending_call.callback(None)
        assert ("tartu", "k1") in fakes.actions.results
        assert api.drain.in_flight == 0

    def test_another_accounts_action_is_not_found(self, call):
        """Guards against reading another account's reservation by its key."""
        call("POST", "/v1/services/seats/reserve", {}, Idempotency_Key="k1")
        assert call("GET", "/v1/actions/k1").json["state"] == "done"
        call("POST", "/v1/services/seats/reserve", {}, Idempotency_Key="a/b")
        assert call("GET", "/v1/actions/a%2Fb").json["state"] == "done"
        other = call("GET", "/v1/actions/k1", key="key-tallinn")
        assert other.response.status == 404


class TestOtherRoutes:
    def test_addresses_have_a_validity_period(self, call):
        caller = call("GET", "/v1/addresses")
        assert caller.json == {"urls": ["http://d1"], "valid_for_s": 10.0}

    def test_models_are_listed(self, call):
        assert [m["id"] for m in call("GET", "/v1/models").json["data"]] == ["m"]

    def test_unknown_paths_and_methods_have_typed_errors(self, call):
        assert call("GET", "/x").error_code == "not_found"
        assert call("DELETE", "/v1/models").error_code == "method_not_allowed"


class TestConfigurationFreshness:
    @pytest.mark.fault("configuration", step="request")
    def test_new_requests_are_rejected_without_confirmed_configuration(
        self, complete, call, fakes
    ):
        """Guards against serving requests by an outdated configuration."""
        fakes.confirmed = False
        for caller in (
            complete(),
            call("POST", "/v1/services/seats/check", {}),
            call("GET", "/v1/prompts"),
        ):
            assert caller.error_code == "configuration_unconfirmed"
            assert caller.response.headers["retry-after"] == "1"
        assert call("GET", "/healthz", key=None).response.status == 503

    def test_requests_in_flight_are_completed(self, complete, fakes):
        fakes.engines.stream_faults = [None]
        caller = complete()
        fakes.confirmed = False
        fakes.engines.feed(
            fakes.engines.streams[0], fakes.engines.request_bodies[0], 0, 3
        )
        assert caller.response.status == 200


class TestDrain:
    def test_in_flight_requests_finish_and_new_ones_are_rejected(
        self, complete, call, api, fakes, scripted, clock
    ):
        """Guards against a shutdown that interrupts or drops requests."""
        fakes.actions.pending_call = scripted.unresolved()
        caller = call("POST", "/v1/services/seats/check", {})
        api.drain.start(accept_until=clock.seconds() + 10)
        idle = start(api.drain.wait_idle())
        assert complete().response.status == 200
        assert call("GET", "/healthz", key=None).json["status"] == "draining"
        clock.advance(9.5)
        assert complete().response.headers["connection"] == "close"
        clock.advance(0.5)
        rejected = complete()
        assert rejected.error_code == "draining"
        assert rejected.response.headers["retry-after"] == "1"
        assert not idle.called
        fakes.actions.pending_call.callback(None)
        assert caller.response.status == 200
        assert idle.called
