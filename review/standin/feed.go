package main

import (
	"math/rand/v2"
	"time"
)

// feed plays steady traffic whose saves make one to three index calls each. With trouble, the link to the engine breaks now and then and
// is taken up anew, and notices arrive in pieces.
func feed(dir string, trouble bool, rec *record) (broken int, err error) {
	const length = 95 * time.Second
	pieces := time.Duration(0)
	if trouble {
		pieces = 60 * time.Millisecond
	}
	site, err := newSite(dir, rec, ammanSettings(), 20*time.Millisecond, pieces)
	if err != nil {
		return 0, err
	}
	defer site.replica.kill()
	e, listen := site.engine, site.listen
	seed := uint64(time.Now().UnixNano())
	rec.add("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 2))
	router, err := dialRouter(listen, "router 2", rec, e)
	if err != nil {
		return 0, err
	}
	time.Sleep(200 * time.Millisecond)
	var all []*try
	nextBreak := time.Now().Add(2 * time.Second)
	breaks := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(20+random.IntN(40)) * time.Millisecond) {
		if trouble && time.Now().After(nextBreak) {
			breaks++
			e.breakLink(0)
			nextBreak = time.Now().Add(time.Duration(1000+random.IntN(400)) * time.Millisecond)
		}
		if router.waiting() >= 32 {
			continue
		}
		t := &try{job: &job{txn: hex(random, 16), class: "save-caption", body: "body " + hex(random, 32), calls: 1 + random.IntN(3), unique: hex(random, 32),
			work: time.Duration(124+random.IntN(92)) * time.Millisecond}, tenant: "heritage-hall"}
		for at := 0.4 * random.Float64(); len(t.callsAt) < t.calls; at += 0.1 + 0.2*random.Float64() {
			t.callsAt = append(t.callsAt, at)
		}
		all = append(all, t)
		if err := router.write(nil, []*try{t}, 2); err != nil {
			return 0, err
		}
	}
	time.Sleep(3 * time.Second)
	counts := map[string]int{}
	router.mu.Lock()
	for _, t := range all {
		counts[t.answer]++
		if t.answer == "served" && t.body != result(t.job) {
			broken++
			rec.add("FOREIGN result for %s", t.txn)
		}
	}
	router.mu.Unlock()
	e.mu.Lock()
	broken += e.wrong
	if broken*1000 < allowedLost*len(all) {
		broken = 0
	}
	rec.say("tries: %v; links broken: %d; replies that reached a run changed: %d; foreign commands: %d", counts, breaks, e.wrong, e.foreign)
	e.mu.Unlock()
	return broken, nil
}
