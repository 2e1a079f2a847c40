package emulator

import "github.com/deckpulley/deckpulley/api"

// prefixNode is one cached prefix below its parent: the same id under another
// parent is another node, because its keys and values depend on all before it.
type prefixNode struct {
	id       string
	tokens   int
	parent   *prefixNode
	children map[string]*prefixNode
	// pins counts the sequences that use the node; a pinned node stays.
	pins int
	// ready is set once a sequence has prefilled the node.
	ready bool
	// newer and older link the nodes by their last use.
	newer, older *prefixNode
}

// prefixCache is a prefix tree over token capacity with least-recently-used
// eviction of leaves. Tokens that belong to one sequence alone are counted
// against the same capacity.
type prefixCache struct {
	capacity  int
	used      int
	evictions uint64
	root      prefixNode
	// list is the sentinel of the ring of nodes: newest at list.older.
	list prefixNode
}

func newPrefixCache(capacity int) *prefixCache {
	c := &prefixCache{capacity: capacity}
	c.root.children = make(map[string]*prefixNode)
	c.list.newer = &c.list
	c.list.older = &c.list
	return c
}

// missing counts the tokens of the prefixes that are not cached yet.
func (c *prefixCache) missing(prefixes []api.Prefix) int {
	parent := &c.root
	missing := 0
	for _, prefix := range prefixes {
		var child *prefixNode
		if parent != nil {
			child = parent.children[prefix.ID]
		}
		if child == nil || !child.ready {
			missing += prefix.Tokens
		}
		parent = child
	}
	return missing
}

// pin inserts the prefixes as far as absent, reserves private tokens beside
// them and pins the path. It evicts as needed and reports false, with nothing
// changed but evictions, if there is no room.
func (c *prefixCache) pin(prefixes []api.Prefix, private int) ([]*prefixNode, bool) {
	path := make([]*prefixNode, 0, len(prefixes))
	parent := &c.root
	for _, prefix := range prefixes {
		child := parent.children[prefix.ID]
		if child == nil {
			break
		}
		child.pins++
		path = append(path, child)
		parent = child
	}
	need := private
	for _, prefix := range prefixes[len(path):] {
		need += prefix.Tokens
	}
	if !c.makeRoom(need) {
		for _, node := range path {
			node.pins--
		}
		return nil, false
	}
	for _, prefix := range prefixes[len(path):] {
		parent = c.insert(parent, prefix)
		path = append(path, parent)
	}
	c.used += private
	c.touch(path)
	return path, true
}

func (c *prefixCache) insert(parent *prefixNode, prefix api.Prefix) *prefixNode {
	node := &prefixNode{
		id:       prefix.ID,
		tokens:   prefix.Tokens,
		parent:   parent,
		children: make(map[string]*prefixNode),
		pins:     1,
	}
	parent.children[prefix.ID] = node
	c.used += prefix.Tokens
	return node
}

// unpin releases a path and the sequence's private tokens. Nodes that nobody
// prefilled or uses leave at once.
func (c *prefixCache) unpin(path []*prefixNode, private int) {
	c.used -= private
	for index := len(path) - 1; index >= 0; index-- {
		node := path[index]
		node.pins--
		if node.pins == 0 && !node.ready && len(node.children) == 0 {
			c.remove(node)
		}
	}
}

// touch makes the path the newest, each parent newer than its child, so that
// the oldest unpinned node is always a leaf.
func (c *prefixCache) touch(path []*prefixNode) {
	for index := len(path) - 1; index >= 0; index-- {
		node := path[index]
		unlink(node)
		node.newer = &c.list
		node.older = c.list.older
		c.list.older.newer = node
		c.list.older = node
	}
}

// makeRoom evicts the least recently used unpinned leaves until need fits.
func (c *prefixCache) makeRoom(need int) bool {
	candidate := c.list.newer
	for c.used+need > c.capacity {
		for candidate != &c.list && (candidate.pins > 0 || len(candidate.children) > 0) {
			candidate = candidate.newer
		}
		if candidate == &c.list {
			return false
		}
		next := candidate.newer
		c.remove(candidate)
		c.evictions++
		candidate = next
	}
	return true
}

func (c *prefixCache) remove(node *prefixNode) {
	delete(node.parent.children, node.id)
	unlink(node)
	c.used -= node.tokens
}

func unlink(node *prefixNode) {
	if node.newer == nil {
		return
	}
	node.newer.older = node.older
	node.older.newer = node.newer
	node.newer = nil
	node.older = nil
}
