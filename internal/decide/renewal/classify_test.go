package renewal

import (
	"testing"
	"time"
)

func TestClassifyFailures(t *testing.T) {
	for _, testCase := range []struct {
		failure Trouble
		want    Class
	}{
		{Trouble{}, Transient},
		{Trouble{Status: 503, RetryAfter: time.Hour}, Transient},
		{Trouble{Status: 429}, Limited},
		{Trouble{Kind: "rateLimited", Status: 429}, Limited},
		{Trouble{Kind: "caa", Status: 403}, Hopeless},
		{Trouble{Kind: "unauthorized", Status: 401}, Hopeless},
		{Trouble{Rubbish: true}, Hopeless},
		{Trouble{Local: true, Kind: "caa"}, Transient},
		{Trouble{Kind: "externalAccountRequired"}, Hopeless},
		{Trouble{Kind: "externalAccountRequired", InARow: 1}, Person},
		{Trouble{Kind: "validation", InARow: 1}, Transient},
		{Trouble{Kind: "validation", InARow: 2}, Person},
		{Trouble{Kind: "connection", InARow: 9}, Person},
		{Trouble{Kind: "something new", Status: 400}, Transient},
	} {
		if got := Classify(testCase.failure); got.Class != testCase.want || got.RetryAfter != testCase.failure.RetryAfter {
			t.Errorf("%+v is classified as %v, want class %v", testCase.failure, got, testCase.want)
		}
	}
	if ShortKind("urn:ietf:params:acme:error:caa") != "caa" || ShortKind("about:blank") != "about:blank" {
		t.Error("ShortKind does not remove exactly the ACME prefix")
	}
	if got := Classify(Trouble{RetryAfter: -time.Hour}); got.RetryAfter != 0 {
		t.Errorf("negative Retry-After: got %v, want 0", got.RetryAfter)
	}
}
