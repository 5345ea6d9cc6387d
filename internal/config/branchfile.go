package config

import (
	"encoding/json"
	"fmt"

	"go.yaml.in/yaml/v3"
)

const (
	maxFileDepth = 16
	filePath     = "file"
)

// ParseBranchFile reads an operator's file, YAML or JSON, that holds a whole
// branch. Whether it fits the branch is for Check to say. Error: *Error.
func ParseBranchFile(data []byte) ([]Op, error) {
	raw, err := parseObject(data, MaxRecordBytes)
	if err != nil {
		return nil, err
	}
	return []Op{{Value: raw}}, nil
}

// parseObject reads one object, YAML or JSON, of at most so many bytes.
func parseObject(data []byte, limit int) (json.RawMessage, *Error) {
	if len(data) > limit {
		return nil, valueFault(filePath, len(data), fmt.Sprintf("must have at most %d bytes", limit))
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, fault(filePath, truncate("must be YAML or JSON: "+err.Error(), maxVerdictReason))
	}
	if len(document.Content) != 1 || document.Content[0].Kind != yaml.MappingNode {
		return nil, fault(filePath, "must hold one object")
	}
	value, fileErr := plainValue(document.Content[0], "", maxFileDepth)
	if fileErr != nil {
		return nil, fileErr
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, fault(filePath, truncate(err.Error(), maxVerdictReason))
	}
	return raw, nil
}

// plainValue turns a YAML node into what encoding/json takes. Anchors are
// refused: a few lines of them stand for gigabytes.
func plainValue(node *yaml.Node, path string, depth int) (any, *Error) {
	if depth == 0 {
		return nil, fault(join(filePath, path), fmt.Sprintf("must be nested at most %d deep", maxFileDepth))
	}
	switch node.Kind {
	case yaml.MappingNode:
		return plainObject(node, path, depth)
	case yaml.SequenceNode:
		return plainList(node, path, depth)
	case yaml.ScalarNode:
		return plainScalar(node, path)
	default:
		return nil, fault(join(filePath, path), "must not use anchors")
	}
}

func plainObject(node *yaml.Node, path string, depth int) (any, *Error) {
	object := make(map[string]any, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i]
		entry := join(path, truncate(name.Value, maxNameBytes))
		if name.Kind != yaml.ScalarNode {
			return nil, fault(join(filePath, entry), "name must be a string")
		}
		if _, twice := object[name.Value]; twice {
			return nil, fault(join(filePath, entry), "must stand once")
		}
		value, err := plainValue(node.Content[i+1], entry, depth-1)
		if err != nil {
			return nil, err
		}
		object[name.Value] = value
	}
	return object, nil
}

func plainList(node *yaml.Node, path string, depth int) (any, *Error) {
	list := make([]any, len(node.Content))
	for i, element := range node.Content {
		value, err := plainValue(element, fmt.Sprintf("%s/%d", path, i), depth-1)
		if err != nil {
			return nil, err
		}
		list[i] = value
	}
	return list, nil
}

// plainScalar takes numbers, booleans and null as such, all else as text.
func plainScalar(node *yaml.Node, path string) (any, *Error) {
	var value any
	switch node.ShortTag() {
	case "!!int", "!!float", "!!bool", "!!null":
		if err := node.Decode(&value); err != nil {
			return nil, fault(join(filePath, path), "must be a plain value")
		}
		return value, nil
	default:
		return node.Value, nil
	}
}
