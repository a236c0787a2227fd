package renewal

import (
	"testing"
	"time"
)

func TestClassifyFailures(t *testing.T) {
	for _, testCase := range []struct {
		failure Failure
		want    FailureClass
	}{
		{Failure{}, Transient},
		{Failure{Status: 503, RetryAfter: time.Hour}, Transient},
		{Failure{Status: 429}, RateLimited},
		{Failure{Kind: "rateLimited", Status: 429}, RateLimited},
		{Failure{Kind: "caa", Status: 403}, RejectedByAuthority},
		{Failure{Kind: "unauthorized", Status: 401}, RejectedByAuthority},
		{Failure{Unusable: true}, RejectedByAuthority},
		{Failure{Local: true, Kind: "caa"}, Transient},
		{Failure{Kind: "externalAccountRequired"}, RejectedByAuthority},
		{Failure{Kind: "externalAccountRequired", PriorFailures: 1}, NeedsOperator},
		{Failure{Kind: "validation", PriorFailures: 1}, Transient},
		{Failure{Kind: "validation", PriorFailures: 2}, NeedsOperator},
		{Failure{Kind: "connection", PriorFailures: 9}, NeedsOperator},
		{Failure{Kind: "something new", Status: 400}, Transient},
	} {
		if got := Classify(testCase.failure); got.Class != testCase.want || got.RetryAfter != testCase.failure.RetryAfter {
			t.Errorf("%+v is classified as %v, want class %v", testCase.failure, got, testCase.want)
		}
	}
	if TrimProblemPrefix("urn:ietf:params:acme:error:caa") != "caa" || TrimProblemPrefix("about:blank") != "about:blank" {
		t.Error("TrimProblemPrefix does not remove exactly the ACME prefix")
	}
	if got := Classify(Failure{RetryAfter: -time.Hour}); got.RetryAfter != 0 {
		t.Errorf("negative Retry-After: got %v, want 0", got.RetryAfter)
	}
}
