package object

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"sigs.k8s.io/yaml"
)

// Decode reads objects from YAML documents separated by "---", or from JSON. An unknown field is an error.
func Decode(r io.Reader) ([]Object, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Wrap(err, "read objects")
	}
	var objects []Object
	for i, document := range bytes.Split(raw, []byte("\n---")) {
		if len(bytes.TrimSpace(document)) == 0 {
			continue
		}
		var o Object
		if err := yaml.UnmarshalStrict(document, &o); err != nil {
			return nil, errors.Wrapf(err, "document %d", i+1)
		}
		objects = append(objects, o)
	}
	return objects, nil
}
