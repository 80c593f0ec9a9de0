package entry

import (
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// maxSecretBytes is the maximum size of a secret file.
const maxSecretBytes = 4 << 10

// readSecret reads a secret from a file and trims white space. It returns an
// empty secret if the file name is empty, and an error if the file is.
func readSecret(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	f, err := os.Open(file)
	if err != nil {
		return "", err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxSecretBytes))
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(string(data))
	if secret == "" {
		return "", errors.Errorf("%s: contains no secret", file)
	}
	return secret, nil
}
