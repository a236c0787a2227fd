// Package counters implements named, concurrency-safe event counters.
package counters

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
)

// Counter is an event counter that is safe for concurrent use. The zero value is ready for use.
type Counter struct{ n atomic.Int64 }

// Add adds n to the counter.
func (c *Counter) Add(n int) { c.n.Add(int64(n)) }

// Inc adds one to the counter.
func (c *Counter) Inc() { c.n.Add(1) }

// Load returns the current value.
func (c *Counter) Load() int64 { return c.n.Load() }

// Set is a group of counters by name. A counter is created by the first Get of its name and is never removed. The zero value
// is ready for use.
type Set struct {
	mu     sync.Mutex
	byName map[string]*Counter
}

// Get returns the counter with the given name. It locks the set, so callers on hot paths should get a counter once and keep it.
func (s *Set) Get(name string) *Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string]*Counter{}
	}
	c := s.byName[name]
	if c == nil {
		c = new(Counter)
		s.byName[name] = c
	}
	return c
}

// String returns all counters on one line as "name=value", sorted and separated by spaces.
func (s *Set) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	pairs := make([]string, 0, len(s.byName))
	for name, c := range s.byName {
		pairs = append(pairs, fmt.Sprintf("%s=%d", name, c.Load()))
	}
	sort.Strings(pairs)
	return strings.Join(pairs, " ")
}

// Values returns the values of all counters by name.
func (s *Set) Values() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]int64, len(s.byName))
	for name, c := range s.byName {
		values[name] = c.Load()
	}
	return values
}
