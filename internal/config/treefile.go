package config

// maxTreeFileBytes is the largest file with a whole tree.
const maxTreeFileBytes = maxTreeBytes + MaxRecordBytes

// ParseTreeFile parses and validates an operator's YAML or JSON file with the whole
// tree: either the tree itself, as "config get" prints it, or the daemon's response
// that contains it, as "config get --json" prints it. Error: *Error.
func ParseTreeFile(data []byte) (Tree, error) {
	raw, err := parseObject(data, maxTreeFileBytes)
	if err != nil {
		return Tree{}, err
	}
	members, err := objectMembers(raw, fileErrorPath) // parseObject returned one object
	if err != nil {
		return Tree{}, err
	}
	if inner, ok := members["tree"]; ok {
		raw = inner
	}
	tree := *defaultTree()
	if err := decodeStrict(raw, "tree", &tree); err != nil {
		return Tree{}, err
	}
	return tree, tree.Validate()
}
