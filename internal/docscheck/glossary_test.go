package docscheck

import (
	"slices"
	"strings"
	"testing"
)

const glossaryPage = "docs/GLOSSARY.md"

// usersWords lists words that users of the system write in requests, briefs and incident
// reports, and for which the code has other terms.
var usersWords = []string{
	// Control plane and state.
	"places table", "head record", "entry naming a server", "marker", "all or none", "prescan", "permission",
	"primary", "the machine in charge", "secondary", "time in charge", "still in charge", "round", "ballot", "promise", "vote",
	"settle", "stored stably", "beat", "book", "ledger", "copy", "saves", "replay of changes", "our machine",
	"machine with a disk", "list", "mates", "fellows", "kin", "seed", "life", "identity of a disk", "swapped out", "mend",
	"condition of an update", "version of the table", "version of the configuration", "data folder", "settings",
	// Leases, configuration and operators.
	"hold", "may act", "holder", "keeper", "fence", "may hold a lease", "told", "news", "word", "letter", "note", "errand",
	"in force at a node", "in force everywhere", "order", "outraced", "hand in", "sent on", "empty a zone", "drains", "leaves",
	"duty", "deferral", "the platform", "list of borrowed machines", "routes by host and path", "a change of some items",
	// Requests.
	"where to go", "stays at home", "pinned", "overflow", "ask to take over", "try", "further try", "second copy",
	"share of repeats", "pause that grows", "repeatable", "turned away", "refused", "cannot say", "whole", "held", "line",
	"queue of waiting", "ceiling", "shed", "share", "worth", "aim", "set point", "wanted value", "feedback loop", "room",
	"quick question", "long review", "fetch", "piece", "part", "place (in a stream)", "mark", "door for HTTP", "late or crossed answer", "small web service", "lot", "helper",
	// Replicas and load.
	"borrowed machine", "model server", "who looks after a replica", "probe", "cold", "ramp", "flooded", "ill", "sick",
	"thrown out", "kept apart", "work before a replica", "reads the prompt", "makes tokens", "kept prefix",
	"memory of a prompt", "shared beginning of prompts", "put back", "pushed out", "speed of a service's engines",
	"speed of a replica", "taking a replica for a long prompt", "who adds the loads up",
	// Faults.
	"trouble", "mishap", "cut", "silence", "frozen", "rolled", "power lost", "wiped disk", "vanish", "crowd", "region lost", "clock stepped",
}

// words returns the users' words in the order of the rows.
func words(rows []row) []string {
	var found []string
	for _, r := range rows {
		found = append(found, strings.Split(r.cells[0], ", ")...)
	}
	return found
}

func TestGlossaryHasEachWordOfTheUsersOnce(t *testing.T) {
	found := words(readPage(t, glossaryPage).rows())
	for _, word := range usersWords {
		if !slices.Contains(found, word) {
			t.Errorf("%s: %q has no row", glossaryPage, word)
		}
	}
	slices.Sort(found)
	for i := 1; i < len(found); i++ {
		if found[i] == found[i-1] {
			t.Errorf("%s: %q is listed twice", glossaryPage, found[i])
		}
	}
}

// TestGlossaryNamesTheCode checks that each row has a term, a meaning, and either the name
// of a declared Go identifier or the word "none".
func TestGlossaryNamesTheCode(t *testing.T) {
	parsed := loadSource(t)
	read := readPage(t, glossaryPage)
	checkReferences(t, parsed, read, everyPackage)
	for _, r := range read.rows() {
		if len(r.cells) != 4 || slices.Contains(r.cells, "") {
			t.Errorf("%s:%d: the row must have four cells: the users' words, a term, a name and a meaning", read.path, r.number)
			continue
		}
		if r.cells[2] != "none" && len(references(r.cells[2])) == 0 {
			t.Errorf("%s:%d: %q is not a Go name", read.path, r.number, r.cells[2])
		}
	}
}
