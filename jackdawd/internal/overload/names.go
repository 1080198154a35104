package overload

import "fmt"

// nameSeparator separates the names of workspaces that have the same ID.
const nameSeparator = "|"

// Names holds the names behind the IDs of pools and workspaces. It is immutable; nil knows none.
type Names struct {
	pools, workspaces map[uint32]string
}

// NewNames returns the names of the given pools and workspaces.
func NewNames(pools, workspaces []string) *Names {
	return &Names{pools: namesByID(pools, PoolID), workspaces: namesByID(workspaces, WorkspaceID)}
}

func namesByID(names []string, id func(string) uint32) map[uint32]string {
	byID := make(map[uint32]string, len(names))
	for _, name := range names {
		key := id(name)
		if other, ok := byID[key]; ok {
			name = other + nameSeparator + name
		}
		byID[key] = name
	}
	return byID
}

// Pool returns the name of a pool, or "unknown-" and its ID in hexadecimal digits.
func (n *Names) Pool(id uint32) string {
	if n != nil && n.pools[id] != "" {
		return n.pools[id]
	}
	return fmt.Sprintf("unknown-%08x", id)
}

// Workspace returns the name of a workspace, or "unknown-" and its ID in hexadecimal digits.
func (n *Names) Workspace(id uint32) string {
	if n != nil && n.workspaces[id] != "" {
		return n.workspaces[id]
	}
	return fmt.Sprintf("unknown-%06x", id)
}
