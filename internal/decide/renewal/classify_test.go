package renewal

import (
	"testing"
	"time"
)

func TestAnswersAreSorted(t *testing.T) {
	for _, k := range []struct {
		t    Trouble
		want Class
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
		if got := Classify(k.t); got.Class != k.want || got.RetryAfter != k.t.RetryAfter {
			t.Errorf("%+v is %v", k.t, got)
		}
	}
	if ShortKind("urn:ietf:params:acme:error:caa") != "caa" || ShortKind("about:blank") != "about:blank" {
		t.Error("the type of a problem is cut wrongly")
	}
	if got := Classify(Trouble{RetryAfter: -time.Hour}); got.RetryAfter != 0 {
		t.Errorf("a time in the past: %v", got.RetryAfter)
	}
}
