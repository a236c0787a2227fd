//go:build debug

package assert

const panics = true
