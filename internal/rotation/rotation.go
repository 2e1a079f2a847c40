// Package rotation selects a part of a list, so that successive selections go through all of
// it.
package rotation

// Window returns at most limit items of a list: those from a position on, and from the
// beginning again after the last one. A position beyond the end counts on from the beginning.
func Window(items []string, position uint64, limit int) []string {
	count := min(len(items), limit)
	window := make([]string, 0, max(count, 0))
	for i := range count {
		window = append(window, items[(position+uint64(i))%uint64(len(items))])
	}
	return window
}
