package peer

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"os"
)

// minKeyBytes is the minimum length of a fleet key, in bytes.
const minKeyBytes = 32

// LoadKeys reads the fleet's keys from a file of mode 0600 that holds one base64 key of at least 32 bytes per line. The file may hold two
// keys while the key is being replaced: once all boxes accept both, the old one can be removed from one box after another.
func LoadKeys(path string) (keys [][]byte, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("fleet key: other users can access %s; restrict it with: chmod 600", path)
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
		if err != nil || len(key) < minKeyBytes {
			return nil, fmt.Errorf("fleet key: line %d of %s is not a key of %d bytes in base64; make one with: head -c 32 /dev/urandom | base64", i+1, path, minKeyBytes)
		}
		keys = append(keys, key)
	}
	if n := len(keys); n < 1 || n > 2 {
		return nil, fmt.Errorf("fleet key: %s holds %d keys; want one, or two during a replacement", path, n)
	}
	return keys, nil
}
