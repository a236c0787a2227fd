package fleet

import (
	"bytes"
	"errors"
	"os"
	"strconv"
	"syscall"
)

// Groups are the system's process groups.
type Groups struct{}

// Kill ends a group at once. The number of a group is not given to another one while a process of it is left, and the caller
// knows that one was.
func (Groups) Kill(pgid int) {
	if pgid > 1 {
		syscall.Kill(-pgid, syscall.SIGKILL)
	}
}

// Alive tells whether a process of a group is left that may still do something; one that has ended and waits for its parent
// may not.
func (Groups) Alive(pgid int) bool {
	if err := syscall.Kill(-pgid, 0); errors.Is(err, syscall.ESRCH) {
		return false
	}
	list, err := os.ReadDir("/proc")
	if err != nil {
		return true
	}
	for _, e := range list {
		if _, err := strconv.Atoi(e.Name()); err != nil {
			continue
		}
		raw, err := os.ReadFile("/proc/" + e.Name() + "/stat")
		if err != nil {
			continue // it has ended meanwhile
		}
		// After the name, which may hold anything and ends at the last bracket: state, parent, group.
		f := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:])
		if len(f) > 2 && string(f[2]) == strconv.Itoa(pgid) && string(f[0]) != "Z" && string(f[0]) != "X" {
			return true
		}
	}
	return false
}
