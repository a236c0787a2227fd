// Package counters holds the program's counters of what it takes in, sends and answers.
package counters

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
)

// Counter is one number that only grows. The zero value is ready for use.
type Counter struct{ n atomic.Int64 }

// Add adds n; Inc adds one; Load reads the counter.
func (c *Counter) Add(n int) { c.n.Add(int64(n)) }

// Inc adds one.
func (c *Counter) Inc() { c.n.Add(1) }

// Load reads the counter.
func (c *Counter) Load() int64 { return c.n.Load() }

// Set is a group of named counters. Counters are made on first use and never removed.
type Set struct {
	mu    sync.Mutex
	named map[string]*Counter
}

// Get returns the counter of that name. Take it once, at the start, where it is used often.
func (s *Set) Get(name string) *Counter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.named == nil {
		s.named = map[string]*Counter{}
	}
	c := s.named[name]
	if c == nil {
		c = new(Counter)
		s.named[name] = c
	}
	return c
}

// String lists all counters by name as "name=value", on one line.
func (s *Set) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	words := make([]string, 0, len(s.named))
	for name, c := range s.named {
		words = append(words, fmt.Sprintf("%s=%d", name, c.Load()))
	}
	sort.Strings(words)
	return strings.Join(words, " ")
}

// Values gives all counters by name.
func (s *Set) Values() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]int64, len(s.named))
	for name, c := range s.named {
		m[name] = c.Load()
	}
	return m
}
