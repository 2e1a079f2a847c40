package emulator

import "github.com/deckpulley/deckpulley/api"

// prefixNode is one prefix in the tree of cached prefixes. The same id below another
// parent is another node, because the keys and values of a token depend on all tokens
// before it.
type prefixNode struct {
	id       string
	tokens   int
	parent   *prefixNode
	children map[string]*prefixNode
	// pins counts the sequences that use the node; a pinned node is not evicted.
	pins int
	// ready is set once a sequence has prefilled the prefix; before, space is reserved
	// for the node, but it holds no keys and values.
	ready bool
	// newer and older link the nodes in the order of their last use. Both are nil
	// while the node is not in the list.
	newer, older *prefixNode
}

// prefixCache is a prefix tree with a capacity in tokens and eviction of the least
// recently used leaf. The private tokens of running sequences count against the
// same capacity.
type prefixCache struct {
	capacityTokens int
	usedTokens     int
	evictions      uint64
	root           prefixNode
	// list is the sentinel of the ring of nodes: list.older is the most recently used
	// node, list.newer the least recently used one.
	list prefixNode
}

func newPrefixCache(capacity int) *prefixCache {
	c := &prefixCache{capacityTokens: capacity}
	c.root.children = make(map[string]*prefixNode)
	c.list.newer = &c.list
	c.list.older = &c.list
	return c
}

// missingTokens returns the number of tokens in those prefixes that are not cached.
func (c *prefixCache) missingTokens(prefixes []api.Prefix) int {
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

// pin inserts the absent prefixes, reserves the private tokens, and pins and returns the
// path. It evicts leaves as needed. If the capacity does not suffice it returns false;
// leaves may have been evicted even then, but nothing is pinned or reserved.
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
	if !c.evictFor(need) {
		for _, node := range path {
			node.pins--
		}
		return nil, false
	}
	for _, prefix := range prefixes[len(path):] {
		parent = c.insert(parent, prefix)
		path = append(path, parent)
	}
	c.usedTokens += private
	c.touch(path)
	return path, true
}

// insert adds a pinned node below the parent. The caller must add it to the list.
func (c *prefixCache) insert(parent *prefixNode, prefix api.Prefix) *prefixNode {
	node := &prefixNode{
		id:       prefix.ID,
		tokens:   prefix.Tokens,
		parent:   parent,
		children: make(map[string]*prefixNode),
		pins:     1,
	}
	parent.children[prefix.ID] = node
	c.usedTokens += prefix.Tokens
	return node
}

// unpin releases a path and the sequence's private tokens. Unpinned leaves that were
// never prefilled are removed at once, since they hold no keys and values.
func (c *prefixCache) unpin(path []*prefixNode, private int) {
	c.usedTokens -= private
	for index := len(path) - 1; index >= 0; index-- {
		node := path[index]
		node.pins--
		if node.pins == 0 && !node.ready && len(node.children) == 0 {
			c.remove(node)
		}
	}
}

// touch marks the path as the most recently used one. Each parent is newer than its
// child, so that the oldest unpinned node is always a leaf.
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

// evictFor evicts the least recently used unpinned leaves until the given number of
// tokens is free. It reports whether enough could be freed.
func (c *prefixCache) evictFor(tokens int) bool {
	candidate := c.list.newer
	for c.usedTokens+tokens > c.capacityTokens {
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

// remove deletes an unpinned leaf from the tree and the list.
func (c *prefixCache) remove(node *prefixNode) {
	delete(node.parent.children, node.id)
	unlink(node)
	c.usedTokens -= node.tokens
}

// unlink removes a node from the list; it does nothing if the node is not in it.
func unlink(node *prefixNode) {
	if node.newer == nil {
		return
	}
	node.newer.older = node.older
	node.older.newer = node.newer
	node.newer = nil
	node.older = nil
}
