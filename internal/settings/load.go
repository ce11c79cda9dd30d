package settings

import (
	"io"
	"os"
)

// Load reads and decodes a settings file of either role. An invalid or unreadable file returns a Faults error.
func Load(path string) (*Settings, error) {
	data, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, data)
}

// LoadRole is like Load, but returns a Faults error if the file is for the other role.
func LoadRole(path string, role Role) (*Settings, error) {
	loaded, err := Load(path)
	if err != nil {
		return nil, err
	}
	if loaded.Role != role {
		return nil, Faults{{
			Kind: FaultContradiction, File: path, Line: 1, Column: 1, Key: "role",
			Found: string(loaded.Role), Allowed: string(role) + " for this subcommand",
		}}
	}
	return loaded, nil
}

// ReadFile returns the content of a file, or of standard input for "-". It reads at most MaxFileBytes+1
// bytes, so that the decoders reject a file that is too large. A failure is a Faults error.
func ReadFile(path string) ([]byte, error) {
	if path == "-" {
		return readLimited(path, os.Stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, fileFault(path, err)
	}
	defer func() { _ = file.Close() }()
	return readLimited(path, file)
}

func readLimited(path string, reader io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reader, MaxFileBytes+1))
	if err != nil {
		return nil, fileFault(path, err)
	}
	return data, nil
}

func fileFault(path string, err error) error {
	return Faults{{Kind: FaultFile, File: path, Found: err.Error(), Allowed: "a readable file"}}
}
