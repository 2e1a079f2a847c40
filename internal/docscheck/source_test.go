package docscheck

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// repositoryRoot is the path from this folder to the repository's root.
const repositoryRoot = "../.."

// declarations holds what the files of one package, except tests, declare.
type declarations struct {
	// folder is the package's path relative to the repository's root, with slashes.
	folder string
	name   string
	types  map[string]bool
	// values holds constants, variables and functions without a receiver.
	values map[string]bool
	// members holds methods, struct fields and interface methods, as "Type.Member".
	members map[string]bool
	// receivers maps methods, as "Type.Method", to the type of their receiver, "*Type" or
	// "Type".
	receivers map[string]string
	// files lists the names of the package's files, without the folder.
	files []string
	// messages maps functions, as "Function" or "Type.Method", to the constant messages
	// that they log at level info or above.
	messages map[string][]string
}

// source maps the folders of the module's packages to their declarations.
type source map[string]*declarations

// moduleSource parses the module once for all tests.
var moduleSource = sync.OnceValues(func() (source, error) { return parseSource(os.DirFS(repositoryRoot)) })

func loadSource(t *testing.T) source {
	t.Helper()
	parsed, err := moduleSource()
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// parseSource parses all Go files below a root, except tests, test data and files or
// folders whose names begin with a dot.
func parseSource(root fs.FS) (source, error) {
	parsed := make(source)
	files := token.NewFileSet()
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && path != "."
		if entry.IsDir() && (hidden || entry.Name() == "testdata") {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := fs.ReadFile(root, path)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(files, path, text, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		declared := parsed.of(filepath.ToSlash(filepath.Dir(path)), file.Name.Name)
		declared.files = append(declared.files, entry.Name())
		declared.add(file)
		return nil
	})
	return parsed, err
}

func (s source) of(folder, name string) *declarations {
	known, found := s[folder]
	if !found {
		known = &declarations{
			folder:    folder,
			name:      name,
			types:     make(map[string]bool),
			values:    make(map[string]bool),
			members:   make(map[string]bool),
			receivers: make(map[string]string),
			messages:  make(map[string][]string),
		}
		s[folder] = known
	}
	return known
}

func (d *declarations) add(file *ast.File) {
	for _, declaration := range file.Decls {
		switch declared := declaration.(type) {
		case *ast.FuncDecl:
			d.addFunction(declared)
		case *ast.GenDecl:
			for _, spec := range declared.Specs {
				d.addSpec(spec)
			}
		}
	}
}

func (d *declarations) addFunction(function *ast.FuncDecl) {
	key := function.Name.Name
	if function.Recv == nil {
		d.values[key] = true
	} else {
		receiver := receiverOf(function.Recv.List[0].Type)
		key = strings.TrimPrefix(receiver, "*") + "." + function.Name.Name
		d.members[key] = true
		d.receivers[key] = receiver
	}
	if function.Body != nil {
		d.messages[key] = append(d.messages[key], loggedMessages(function.Body)...)
	}
}

// receiverOf returns a receiver's type without its type parameters.
func receiverOf(expression ast.Expr) string {
	switch receiver := expression.(type) {
	case *ast.StarExpr:
		return "*" + receiverOf(receiver.X)
	case *ast.IndexExpr:
		return receiverOf(receiver.X)
	case *ast.IndexListExpr:
		return receiverOf(receiver.X)
	case *ast.Ident:
		return receiver.Name
	default:
		return ""
	}
}

func (d *declarations) addSpec(spec ast.Spec) {
	switch declared := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range declared.Names {
			d.values[name.Name] = true
		}
	case *ast.TypeSpec:
		d.types[declared.Name.Name] = true
		d.addFields(declared.Name.Name, declared.Type)
	}
}

func (d *declarations) addFields(typeName string, definition ast.Expr) {
	var fields *ast.FieldList
	switch defined := definition.(type) {
	case *ast.StructType:
		fields = defined.Fields
	case *ast.InterfaceType:
		fields = defined.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			d.members[typeName+"."+name.Name] = true
		}
	}
}

// logLevels lists the methods of a logger that log at level info or above.
var logLevels = []string{"Info", "Warn", "Error", "InfoContext", "WarnContext", "ErrorContext"}

// loggedMessages returns the constant messages of the log calls in a function.
func loggedMessages(body *ast.BlockStmt) []string {
	var messages []string
	ast.Inspect(body, func(node ast.Node) bool {
		call, isCall := node.(*ast.CallExpr)
		if !isCall {
			return true
		}
		method, isMethod := call.Fun.(*ast.SelectorExpr)
		if !isMethod || !slices.Contains(logLevels, method.Sel.Name) || !isLogger(method.X) {
			return true
		}
		for _, argument := range call.Args[:min(len(call.Args), 2)] {
			if text, constant := constantString(argument); constant {
				messages = append(messages, text)
				break
			}
		}
		return true
	})
	return messages
}

// isLogger reports whether an expression is a logger, judging by its name only: log,
// logger, Logger or package slog.
func isLogger(expression ast.Expr) bool {
	name := ""
	switch receiver := expression.(type) {
	case *ast.Ident:
		name = receiver.Name
	case *ast.SelectorExpr:
		name = receiver.Sel.Name
	}
	return strings.EqualFold(name, "log") || strings.EqualFold(name, "logger") || name == "slog"
}

func constantString(expression ast.Expr) (string, bool) {
	literal, isLiteral := expression.(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// reference is a qualified Go name in a page: pkg.Function, pkg.Type, pkg.Type.Member,
// pkg.(*Type).Method or pkg.(Type).Method. Here pkg is the name of a package, or its
// folder if several packages have the name.
type reference struct {
	text     string
	packages string // name or folder
	receiver string // "*Type" or "Type" as in pkg.(*Type).Method, else empty
	name     string // of the function, value or type; of the method after a receiver
	member   string // of pkg.Type.Member
}

var (
	referenceForm = regexp.MustCompile(`^([a-z][a-z0-9-]*(?:/[a-z0-9-]+)*)\.(?:\((\*?[A-Za-z]\w*)\)\.)?([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?$`)
	fileForm      = regexp.MustCompile(`\.(go|md|mod|sum|yaml|yml|toml|json|jsonl|sh|py|txt|csv|svg)$`)
)

// parseReference parses a code span. It returns false if the span does not have the form
// of a qualified Go name.
func parseReference(span string) (reference, bool) {
	parts := referenceForm.FindStringSubmatch(span)
	if parts == nil || fileForm.MatchString(span) {
		return reference{}, false
	}
	return reference{text: span, packages: parts[1], receiver: parts[2], name: parts[3], member: parts[4]}, true
}

// Errors of references that cannot be resolved.
var (
	errNoPackage        = errors.New("no such package")
	errAmbiguousPackage = errors.New("several packages have this name, use the folder instead")
	errNotDeclared      = errors.New("not declared there")
	errReceiver         = errors.New("the method has a different receiver type")
)

// resolve returns the package of a reference and the key of the named declaration in it.
func (s source) resolve(r reference) (*declarations, string, error) {
	found, err := s.find(r.packages)
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", r.text, err)
	}
	key, err := found.key(r)
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w (%s)", r.text, err, found.folder)
	}
	return found, key, nil
}

// find returns the package with the given folder or name. If several packages have the
// name, those in internal/ are considered only if there is no other.
func (s source) find(name string) (*declarations, error) {
	if exact, found := s[name]; found {
		return exact, nil
	}
	var public, internal []*declarations
	for folder, candidate := range s {
		switch {
		case candidate.name != name || name == "main":
		case strings.HasPrefix(folder, "internal/"):
			internal = append(internal, candidate)
		default:
			public = append(public, candidate)
		}
	}
	candidates := public
	if len(public) == 0 {
		candidates = internal
	}
	switch len(candidates) {
	case 0:
		return nil, errNoPackage
	case 1:
		return candidates[0], nil
	default:
		return nil, errAmbiguousPackage
	}
}

// fileNames returns the names of all files, without their folders.
func (s source) fileNames() map[string]bool {
	names := make(map[string]bool)
	for _, declared := range s {
		for _, name := range declared.files {
			names[name] = true
		}
	}
	return names
}

// hasMember reports whether any package declares a type of the name with the member.
func (s source) hasMember(typeName, member string) bool {
	for _, declared := range s {
		if declared.members[typeName+"."+member] {
			return true
		}
	}
	return false
}

// missing returns an error if the name is neither a package nor a name declared in one.
func (s source) missing(name string) error {
	if named, isReference := parseReference(name); isReference {
		_, _, err := s.resolve(named)
		return err
	}
	if _, err := s.find(name); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// declares reports whether the package declares the name, which is a function, value or
// type, a member as "Type.Member", or the name of a member alone.
func (d *declarations) declares(name string) bool {
	if d.values[name] || d.types[name] || d.members[name] {
		return true
	}
	for member := range d.members {
		if strings.HasSuffix(member, "."+name) {
			return true
		}
	}
	return false
}

// hasType reports whether any package declares the type.
func (s source) hasType(name string) bool {
	for _, declared := range s {
		if declared.types[name] {
			return true
		}
	}
	return false
}

func (d *declarations) key(r reference) (string, error) {
	key := r.name
	switch {
	case r.receiver != "":
		key = strings.TrimPrefix(r.receiver, "*") + "." + r.name
		actual, declared := d.receivers[key]
		if !declared || r.member != "" {
			return "", errNotDeclared
		}
		if actual != r.receiver {
			return "", errReceiver
		}
		return key, nil
	case r.member != "":
		key = r.name + "." + r.member
		if !d.members[key] {
			return "", errNotDeclared
		}
		return key, nil
	case d.values[key] || d.types[key]:
		return key, nil
	default:
		return "", errNotDeclared
	}
}
