// Package docscheck holds the pages of the repository against its Go source. It
// has tests only: they read the Markdown and the syntax trees, and neither build
// nor run anything else.
//
// docs/ARCHITECTURE.md and docs/GLOSSARY.md are held strictly: each code span in
// the form of a Go name must be declared, each log message of the daemons and each
// metric must have its row, and each of the users' words its term. Every page but
// CHANGELOG.md, UPGRADING.md and the incidents, which are history, may name only what exists:
// packages, files, Go names, keys, tests, make targets, scripts and flags. Words that
// look like such names and are not stand in notOurs, each with its reason.
package docscheck
