// Package docscheck checks that the Markdown pages of the repository agree with its Go
// source. It has tests only. They read the pages and the syntax trees of the source, and
// neither build nor run other code.
//
// docs/ARCHITECTURE.md and docs/GLOSSARY.md are checked strictly: each code span in the
// form of a Go name must be declared, each log message of the daemons and each metric
// must have a row, and each word in usersWords must have a glossary entry. All pages
// except CHANGELOG.md, UPGRADING.md and the incidents, which describe past versions, may
// name only packages, files, Go names, keys, tests, make targets, scripts and flags that
// exist. The variable notOurs lists words that look like such names but are not, each
// with the reason.
package docscheck
