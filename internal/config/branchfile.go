package config

import (
	"encoding/json"
	"fmt"

	"go.yaml.in/yaml/v3"
)

const (
	maxFileDepth  = 16
	fileErrorPath = "file"
)

// ParseBranchFile parses an operator's YAML or JSON file with a whole branch. It
// doesn't validate the settings; State.Check does. Error: *Error.
func ParseBranchFile(data []byte) ([]Op, error) {
	raw, err := parseObject(data, MaxRecordBytes)
	if err != nil {
		return nil, err
	}
	return []Op{{Value: raw}}, nil
}

// parseObject converts a YAML or JSON document that is one object, of at most limit
// bytes, to JSON.
func parseObject(data []byte, limit int) (json.RawMessage, *Error) {
	if len(data) > limit {
		return nil, newValueError(fileErrorPath, len(data), fmt.Sprintf("must have at most %d bytes", limit))
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, newError(fileErrorPath, truncate("must be YAML or JSON: "+err.Error(), maxVerdictReason))
	}
	if len(document.Content) != 1 || document.Content[0].Kind != yaml.MappingNode {
		return nil, newError(fileErrorPath, "must hold one object")
	}
	value, fileErr := jsonValue(document.Content[0], "", maxFileDepth)
	if fileErr != nil {
		return nil, fileErr
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, newError(fileErrorPath, truncate(err.Error(), maxVerdictReason))
	}
	return raw, nil
}

// jsonValue converts a YAML node to a value that encoding/json can encode. It rejects
// anchors, because a few lines with them can expand to gigabytes. path is that of the
// node in the file, and depth the nesting that is still allowed.
func jsonValue(node *yaml.Node, path string, depth int) (any, *Error) {
	if depth == 0 {
		return nil, newError(joinPath(fileErrorPath, path), fmt.Sprintf("must be nested at most %d deep", maxFileDepth))
	}
	switch node.Kind {
	case yaml.MappingNode:
		return jsonObject(node, path, depth)
	case yaml.SequenceNode:
		return jsonList(node, path, depth)
	case yaml.ScalarNode:
		return jsonScalar(node, path)
	default:
		return nil, newError(joinPath(fileErrorPath, path), "must not use anchors")
	}
}

func jsonObject(node *yaml.Node, path string, depth int) (any, *Error) {
	object := make(map[string]any, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i]
		entry := joinPath(path, truncate(name.Value, maxNameBytes))
		if name.Kind != yaml.ScalarNode {
			return nil, newError(joinPath(fileErrorPath, entry), "name must be a string")
		}
		if _, duplicate := object[name.Value]; duplicate {
			return nil, newError(joinPath(fileErrorPath, entry), "must not appear twice")
		}
		value, err := jsonValue(node.Content[i+1], entry, depth-1)
		if err != nil {
			return nil, err
		}
		object[name.Value] = value
	}
	return object, nil
}

func jsonList(node *yaml.Node, path string, depth int) (any, *Error) {
	list := make([]any, len(node.Content))
	for i, element := range node.Content {
		value, err := jsonValue(element, fmt.Sprintf("%s/%d", path, i), depth-1)
		if err != nil {
			return nil, err
		}
		list[i] = value
	}
	return list, nil
}

// jsonScalar converts numbers, booleans and null to their types and all other scalars
// to strings.
func jsonScalar(node *yaml.Node, path string) (any, *Error) {
	var value any
	switch node.ShortTag() {
	case "!!int", "!!float", "!!bool", "!!null":
		if err := node.Decode(&value); err != nil {
			return nil, newError(joinPath(fileErrorPath, path), "must be a valid number, boolean or null")
		}
		return value, nil
	default:
		return node.Value, nil
	}
}
