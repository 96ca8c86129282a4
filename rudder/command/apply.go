package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

type applyArguments struct {
	File string `arg:"-f,--file,required" help:"file with objects, - for standard input"`
}

// apply writes the objects of a file.
func apply(ctx context.Context, store objectapi.Store, a applyArguments, stdin io.Reader, stdout io.Writer) error {
	objects, err := readObjects(a.File, stdin)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if _, err := store.Put(ctx, o.Key(), o, objectapi.Any); err != nil {
			return err
		}
		fmt.Fprintf(stdout, "%s/%s written\n", o.Kind, o.Name)
	}
	return nil
}

func readObjects(file string, stdin io.Reader) ([]object.Object, error) {
	if file == "-" {
		return object.Decode(stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return object.Decode(f)
}
