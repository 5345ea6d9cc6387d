package config

// maxTreeFileBytes bounds an operator's file with a whole tree.
const maxTreeFileBytes = maxTreeBytes + MaxRecordBytes

// ParseTreeFile reads an operator's file, YAML or JSON, that holds the whole
// tree: as "config get" prints it, or the daemon's whole answer around it as
// "config get --json" does. Error: *Error.
func ParseTreeFile(data []byte) (Tree, error) {
	raw, err := parseObject(data, maxTreeFileBytes)
	if err != nil {
		return Tree{}, err
	}
	members, err := objectMembers(raw, filePath) // raw holds one object
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
