from foxtailbank.admission import Admission, Admitted, LimitKind, LimitShare, Refusal


def test_refusal_gives_the_exact_retry_time():
    admission = Admission()
    share = LimitShare(requests_milli_per_s=3000, requests_burst=2)
    admission.set_share("owner:a", share, 0)
    for _ in range(2):
        assert isinstance(
            admission.admit(keys=("owner:a",), tokens=0, now_ms=0), Admitted
        )
    refusal = admission.admit(keys=("owner:a",), tokens=0, now_ms=0)
    assert refusal == Refusal(
        key="owner:a", kind=LimitKind.REQUESTS, retry_after_ms=334
    )
    early = admission.admit(keys=("owner:a",), tokens=0, now_ms=333)
    assert isinstance(early, Refusal)
    on_time = admission.admit(keys=("owner:a",), tokens=0, now_ms=334)
    assert isinstance(on_time, Admitted)


def test_refused_request_charges_no_limit():
    admission = Admission()
    wide = LimitShare(requests_milli_per_s=1000, requests_burst=1)
    narrow = LimitShare(requests_milli_per_s=1000, requests_burst=5, concurrency=1)
    admission.set_share("owner:a", wide, 0)
    admission.set_share("entry:e", narrow, 0)
    held = admission.admit(keys=("entry:e",), tokens=0, now_ms=0)
    refusal = admission.admit(keys=("owner:a", "entry:e"), tokens=0, now_ms=0)
    assert refusal.kind is LimitKind.CONCURRENCY
    admission.release(held, used_tokens=0, now_ms=0)
    admitted = admission.admit(keys=("owner:a", "entry:e"), tokens=0, now_ms=0)
    assert isinstance(admitted, Admitted)
