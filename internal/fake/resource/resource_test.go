package resource

import (
	"testing"
)

// TestThingThatChecksTokensFencesOlderOnes checks that a thing that checks tokens fences the effect of an older token and rejects an
// old token later, and that a thing that does not check them accepts both.
func TestThingThatChecksTokensFencesOlderOnes(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		r, err := Start(func(string) bool { return checksTokens })
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		dial := func() *Client {
			c, err := Dial(r.String())
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		older, newer := dial(), dial()
		accepted, err := older.Act("x", Ticket{Token: 1}, "a", 7, func() {
			if accepted, err := newer.Act("x", Ticket{Token: 2}, "b", 8, func() {}); !accepted || err != nil {
				t.Errorf("effect of the newer token: accepted %v, %v", accepted, err)
			}
		})
		if !accepted || err != nil {
			t.Errorf("first effect of the older token: accepted %v, %v", accepted, err)
		}
		if accepted, _ := older.Act("x", Ticket{Token: 1}, "a", 7, func() {}); accepted == checksTokens {
			t.Errorf("checks tokens %v: effect of the older token accepted: %v", checksTokens, accepted)
		}
		effects := r.Effects()
		if len(effects) != 3 || effects[0].Fenced != checksTokens || effects[2].Stale != checksTokens || effects[1].Begin < effects[0].Begin {
			t.Errorf("checks tokens %v: effects %+v", checksTokens, effects)
		}
		if endedBefore := effects[0].End <= effects[1].Begin; endedBefore != checksTokens {
			t.Errorf("checks tokens %v: first effect ended before the second began: %v; effects %+v and %+v", checksTokens, endedBefore, effects[0], effects[1])
		}
	}
}
