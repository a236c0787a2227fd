// Package decide has below it what the program decides besides the admission module: a package for each
// concern, as values with methods that take the time and an event and return what is to be done. They do no
// I/O, read no clock and start nothing, which a test of this package checks in their source.
package decide
