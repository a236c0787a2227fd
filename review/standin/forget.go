package main

import (
	"math/rand/v2"
	"time"
)

// forget plays a router whose callers give up while the engine is slow. The router keeps at most 32 requests open on its one
// connection. Each caller waits 1.15 s for a try and may try once more. What happens at one moment, the router writes in
// one flush. With trouble, the engine is three times slower for 9.2 s, once.
func forget(dir string, trouble bool, rec *record) (broken int, err error) {
	const patience, wave, most = 1150 * time.Millisecond, 32, 32
	site, err := newSite(dir, rec, ammanSettings(), 30*time.Millisecond, 0)
	if err != nil {
		return 0, err
	}
	defer site.replica.kill()
	e, listen := site.engine, site.listen
	random := rand.New(rand.NewPCG(1, 2))
	work := func(low, high int) time.Duration { return time.Duration(low+random.IntN(high-low)) * time.Millisecond }
	newTry := func() *try {
		t := &try{job: &job{txn: hex(random, 16), body: hex(random, 16)}, tenant: "heritage-hall"}
		switch n := random.IntN(100); {
		case n < 38:
			t.class, t.calls, t.work = "view-full", 1, work(207, 368)
		case n < 74:
			t.class, t.work = "make-tiles", work(299, 507)
		default:
			t.class, t.calls, t.work, t.unique = "save-caption", 1, work(124, 216), hex(random, 32)
		}
		return t
	}
	var all []*try
	router, err := dialRouter(listen, "router 4", rec, e)
	if err != nil {
		return 0, err
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		rec.add("engine is three times slower")
		e.setSlow(3)
	}
	var batch []*try
	for range wave {
		batch = append(batch, newTry())
	}
	all = append(all, batch...)
	if err := router.write(nil, batch, 4); err != nil {
		return 0, err
	}
	time.Sleep(patience)
	// The callers of the tries that are still open give up, and ask once more. With what was answered meanwhile there is
	// room for new requests too.
	var gone, again []*try
	router.mu.Lock()
	for _, t := range router.open {
		gone = append(gone, t)
	}
	router.mu.Unlock()
	for _, t := range gone {
		job := *t.job
		job.txn, job.over = hex(random, 16), false
		again = append(again, &try{job: &job, tenant: t.tenant, second: true})
	}
	for len(again) < most {
		again = append(again, newTry())
	}
	all = append(all, again...)
	if err := router.write(gone, again, 4); err != nil {
		return 0, err
	}
	rec.say("%d tries given up, %d written", len(gone), len(again))
	time.Sleep(8 * time.Second)
	e.setSlow(1)
	time.Sleep(3 * time.Second)
	time.Sleep(time.Second)
	counts := map[string]int{}
	for _, t := range all {
		deadline := 9200 * time.Millisecond
		if t.class == "make-tiles" {
			deadline = 5800 * time.Millisecond
		}
		due := t.door.Add(deadline + 80*time.Millisecond + 50*time.Millisecond)
		router.mu.Lock()
		switch {
		case t.gone:
			counts["given up"]++
		case t.answer != "" && !t.at.After(due):
			counts[t.answer]++
		case t.ended && t.at.Sub(t.written) < crossing:
			counts["crossed a close"]++
		case t.ended:
			counts["lost"]++
			broken++
			rec.add("LOST %s %s: its connection ended without an answer, %d ms after it was written", t.class, t.txn, t.at.Sub(t.written).Milliseconds())
		default:
			counts["late"]++
			broken++
			rec.add("LOST %s %s: no answer by its due time", t.class, t.txn)
		}
		router.mu.Unlock()
	}
	rec.say("tries: %v", counts)
	if broken*1000 < allowedLost*len(all) {
		broken = 0
	}
	return broken, nil
}
