package object

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/pkg/errors"
	yaml "go.yaml.in/yaml/v3"
)

// Decode reads objects from YAML documents separated by "---", or from one or more JSON values. Unknown and duplicate
// fields and values of a wrong type are errors. If the text is well-formed YAML or JSON, the error is of type Problems and
// lists the problems of all documents. Decode does not check values; Validate does.
func Decode(r io.Reader) ([]Object, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Wrap(err, "read objects")
	}
	documents, err := splitDocuments(raw)
	if err != nil {
		return nil, err
	}
	var objects []Object
	var problems Problems
	for i, document := range documents {
		o, documentProblems := decodeDocument(document, fmt.Sprintf("document %d", i+1))
		problems = append(problems, documentProblems...)
		if len(documentProblems) == 0 {
			objects = append(objects, o)
		}
	}
	return objects, problems.Err()
}

// DecodeJSON decodes one object that was read from the object API. It is as strict as Decode.
func DecodeJSON(raw []byte) (Object, Problems) {
	var document any
	if err := yaml.Unmarshal(raw, &document); err != nil {
		return Object{}, Problems{{
			Object: "object", Field: "document", Value: formatValue(string(raw)), Allowed: "JSON: " + err.Error(),
		}}
	}
	return decodeDocument(document, "object")
}

// splitDocuments returns the non-empty documents of a file as decoded by the YAML decoder into any.
func splitDocuments(raw []byte) ([]any, error) {
	if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")) {
		if documents, err := splitJSON(raw); err == nil {
			return documents, nil
		}
	}
	var documents []any
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	for {
		var document any
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "document %d", len(documents)+1)
		}
		if document != nil {
			documents = append(documents, document)
		}
	}
}

// splitJSON reads consecutive JSON values, which are not a valid sequence of YAML documents. Each value is decoded with the
// YAML decoder because it rejects duplicate keys.
func splitJSON(raw []byte) ([]any, error) {
	var documents []any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	for {
		var value json.RawMessage
		err := decoder.Decode(&value)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "JSON value %d", len(documents)+1)
		}
		var document any
		if err := yaml.Unmarshal(value, &document); err != nil {
			return nil, errors.Wrapf(err, "JSON value %d", len(documents)+1)
		}
		documents = append(documents, document)
	}
}

// normalise returns the object after encoding to and decoding from JSON, in which an empty optional list is absent, so that
// two objects with the same meaning are equal.
func (o Object) normalise() Object {
	raw, err := json.Marshal(o)
	var decoded Object
	if err != nil || json.Unmarshal(raw, &decoded) != nil {
		return o
	}
	return decoded
}

// decodeDocument converts a generic value to an Object. location identifies the document in problems if it has no kind and
// name.
func decodeDocument(document any, location string) (Object, Problems) {
	fields, isMap := document.(map[string]any)
	if !isMap {
		return Object{}, Problems{{
			Object: location, Field: "document", Value: formatValue(document), Allowed: "fields kind, name and one spec",
		}}
	}
	if kind, name := fields["kind"], fields["name"]; kind != nil && name != nil {
		location = fmt.Sprintf("%v/%v", kind, name)
	}
	problems := checkSchema(location, "", document, objectType)
	if len(problems) > 0 {
		return Object{}, problems
	}
	raw, err := json.Marshal(document)
	var o Object
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	if err != nil {
		return Object{}, Problems{{Object: location, Field: "document", Value: formatValue(document), Allowed: err.Error()}}
	}
	return o.normalise(), nil
}
