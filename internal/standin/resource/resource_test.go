package resource

import (
	"testing"
)

func TestAThingThatComparesTokensTakesTheNewestAlone(t *testing.T) {
	for _, checks := range []bool{true, false} {
		r, err := Start(func(string) bool { return checks })
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
		old, next := dial(), dial()
		took, err := old.Act("x", Ticket{Token: 1}, "a", 7, func() {
			if took, err := next.Act("x", Ticket{Token: 2}, "b", 8, func() {}); !took || err != nil {
				t.Errorf("a newer one: %v %v", took, err)
			}
		})
		if !took || err != nil {
			t.Errorf("the first: %v %v", took, err)
		}
		if took, _ := old.Act("x", Ticket{Token: 1}, "a", 7, func() {}); took == checks {
			t.Errorf("checks %v, and an older token was taken: %v", checks, took)
		}
		list := r.Effects()
		if len(list) != 3 || list[0].Fenced != checks || list[2].Stale != checks || list[1].Begin < list[0].Begin {
			t.Errorf("checks %v: %+v", checks, list)
		}
		if before := list[0].End <= list[1].Begin; before != checks {
			t.Errorf("checks %v: %+v and %+v", checks, list[0], list[1])
		}
	}
}
