package peer

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
)

// keyLeast is the least length of a fleet key, in bytes.
const keyLeast = 32

// LoadKeys reads the fleet's keys: a file of mode 0600 with a key a line, as base64, 32 bytes at least. It may hold two
// while the key is changed: with both in force on all boxes, the old one can be taken away box after box.
func LoadKeys(path string) (keys [][]byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("fleet key: others may read %s; take the rights away with: chmod 600", path)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	for i, line := range bytes.Split(raw, []byte("\n")) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(string(line))
		if err != nil || len(key) < keyLeast {
			return nil, fmt.Errorf("fleet key: line %d of %s is not a key of %d bytes in base64; make one with: head -c 32 /dev/urandom | base64", i+1, path, keyLeast)
		}
		keys = append(keys, key)
	}
	if n := len(keys); n < 1 || n > 2 {
		return nil, fmt.Errorf("fleet key: %s holds %d keys; it must be one, or two during a change", path, n)
	}
	return keys, nil
}
