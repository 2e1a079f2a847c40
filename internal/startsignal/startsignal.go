// Package startsignal ignores SIGHUP from the start of a process until it is handled. The
// Go runtime installs its handlers, and package main its own, some milliseconds after the
// process has started; a SIGHUP in between would end the process.
//
// A program imports this package for its effect. The runtime leaves a signal that is
// ignored at its start alone until os/signal.Notify is called for it.
package startsignal

// #include <signal.h>
//
// // The constructor runs when the executable is loaded, before the Go runtime starts.
// __attribute__((constructor)) static void ignoreHangUp(void) { signal(SIGHUP, SIG_IGN); }
import "C"
