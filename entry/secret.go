package entry

import (
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// maxTokenBytes bounds the file of the platform's token.
const maxTokenBytes = 4 << 10

// readToken returns the platform's token from its file; no file is no token.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	f, err := os.Open(file)
	if err != nil {
		return "", errors.Wrap(err, "entry: the platform's token")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxTokenBytes))
	if err != nil {
		return "", errors.Wrap(err, "entry: the platform's token")
	}
	return strings.TrimSpace(string(data)), nil
}
