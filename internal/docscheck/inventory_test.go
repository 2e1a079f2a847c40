package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// inventory lists what else the repository contains besides the declarations of its
// packages, as far as pages may name it in commands, in paths or as single words.
type inventory struct {
	// paths holds all files and folders, relative to the root and with slashes.
	paths map[string]bool
	// identifiers holds all names that Go files, including tests, declare.
	identifiers map[string]bool
	// words holds the complete string literals and struct tags of Go files, the words in
	// capitals within them, and the names and words of other files that are not pages.
	words map[string]bool
	// tests maps test, fuzz, benchmark and example functions to their folders.
	tests map[string][]string
	// functions maps each file to the names of its functions and methods, without
	// receivers.
	functions map[string]map[string]bool
	// literals maps each folder to the string literals of its test files, which include
	// the names of subtests.
	literals map[string]map[string]bool
	// testFlags maps each folder to the flags that its tests declare.
	testFlags map[string]map[string]bool
	// programs maps each program of cmd/ to its flags, including one-letter shorthands.
	programs map[string]map[string]bool
	// scripts maps shell and Python scripts to their content.
	scripts map[string]string
	// targets and variables are the targets and variables of the Makefile.
	targets, variables map[string]bool
}

// moduleInventory reads the repository once for all tests.
var moduleInventory = sync.OnceValues(func() (*inventory, error) { return newInventory(os.DirFS(repositoryRoot)) })

func loadInventory(t *testing.T) *inventory {
	t.Helper()
	found, err := moduleInventory()
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// unread lists the folders at the root that contain no source: git's data, tools, built
// programs and the records of runs.
var unread = map[string]bool{".git": true, ".tools": true, "bin": true, "journal": true}

// written is the folder that programs write and git ignores. It is skipped so that the
// result of the tests is the same before and after a run.
const written = "out"

func newInventory(root fs.FS) (*inventory, error) {
	found := &inventory{
		paths:       make(map[string]bool),
		identifiers: make(map[string]bool),
		words:       make(map[string]bool),
		tests:       make(map[string][]string),
		functions:   make(map[string]map[string]bool),
		literals:    make(map[string]map[string]bool),
		testFlags:   make(map[string]map[string]bool),
		programs:    make(map[string]map[string]bool),
		scripts:     make(map[string]string),
		targets:     make(map[string]bool),
		variables:   make(map[string]bool),
	}
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if name == written {
			return fs.SkipDir
		}
		found.paths[name] = true
		switch {
		case entry.IsDir() && unread[name]:
			return fs.SkipDir
		case entry.IsDir():
			if path.Dir(name) == "cmd" {
				found.programs[path.Base(name)] = map[string]bool{"help": true, "h": true}
			}
			return nil
		case strings.HasSuffix(name, ".md"):
			return nil
		}
		return found.read(root, name)
	})
	if err != nil {
		return nil, err
	}
	return found, found.addSharedFlags(root)
}

func (i *inventory) read(root fs.FS, name string) error {
	text, err := fs.ReadFile(root, name)
	if err != nil {
		return err
	}
	switch {
	case !strings.HasSuffix(name, ".go"):
		addAll(i.words, word.FindAllString(string(text), -1))
		i.words[strings.TrimSuffix(path.Base(name), path.Ext(name))] = true
		switch {
		case name == "Makefile":
			i.addMakefile(string(text))
		case path.Ext(name) == ".sh" || path.Ext(name) == ".py":
			i.scripts[name] = string(text)
		}
		return nil
	case strings.Contains(name, "testdata/"):
		return nil
	}
	file, err := parser.ParseFile(token.NewFileSet(), name, text, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	i.addGo(name, file)
	return nil
}

var (
	word         = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_-]*`)
	capitals     = regexp.MustCompile(`\b[A-Z]{4,}\b`)
	makeTarget   = regexp.MustCompile(`(?m)^([a-z][a-z-]*):`)
	makeVariable = regexp.MustCompile(`(?m)^([A-Z_]+)\s*[:?]?=|\$\(([A-Z_]+)\)`)
)

func (i *inventory) addMakefile(text string) {
	for _, match := range makeTarget.FindAllStringSubmatch(text, -1) {
		i.targets[match[1]] = true
	}
	for _, match := range makeVariable.FindAllStringSubmatch(text, -1) {
		i.variables[match[1]+match[2]] = true
	}
}

func (i *inventory) addGo(name string, file *ast.File) {
	folder := path.Dir(name)
	isTest := strings.HasSuffix(name, "_test.go")
	constants := constantStrings(file)
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			i.identifiers[node.Name.Name] = true
			put(i.functions, name, node.Name.Name)
			if isTest && node.Recv == nil && testName.MatchString(node.Name.Name) {
				i.tests[node.Name.Name] = append(i.tests[node.Name.Name], folder)
			}
		case *ast.TypeSpec:
			i.identifiers[node.Name.Name] = true
		case *ast.ValueSpec:
			i.addIdentifiers(node.Names)
		case *ast.Field:
			i.addIdentifiers(node.Names)
		case *ast.BasicLit:
			i.addLiteral(folder, isTest, node)
		case *ast.CallExpr:
			i.addFlags(folder, isTest, constants, node)
		}
		return true
	})
}

func (i *inventory) addIdentifiers(names []*ast.Ident) {
	for _, name := range names {
		i.identifiers[name.Name] = true
	}
}

var tagValue = regexp.MustCompile(`\w+:"([^",]+)`)

func (i *inventory) addLiteral(folder string, isTest bool, literal *ast.BasicLit) {
	text, isString := constantString(literal)
	if !isString {
		return
	}
	i.words[text] = true
	addAll(i.words, capitals.FindAllString(text, -1))
	if strings.HasPrefix(literal.Value, "`") {
		for _, match := range tagValue.FindAllStringSubmatch(text, -1) {
			i.words[match[1]] = true
		}
	}
	if isTest {
		put(i.literals, folder, text)
	}
}

// flagMethod matches the methods of packages flag and pflag that declare a flag. The
// flag's name is the first argument or, if a variable comes first, the second.
var flagMethod = regexp.MustCompile(`^(?:String|Bool|Int|Int64|Uint|Uint64|Float64|Duration)(?:Slice|Array|ToString)?(Var)?(P)?$`)

// addFlags adds the flags that a call declares to those of a program or of a folder's
// tests.
func (i *inventory) addFlags(folder string, isTest bool, constants map[string]string, call *ast.CallExpr) {
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod {
		return
	}
	form := flagMethod.FindStringSubmatch(method.Sel.Name)
	first, count := 0, 1
	switch {
	case method.Sel.Name == "register" && !isTest:
		count = len(call.Args) // a program's own helper whose arguments are names of flags
	case form == nil:
		return
	case form[1] != "":
		first = 1
	}
	if form != nil && form[2] != "" {
		count = 2 // the name and the shorthand
	}
	for _, argument := range call.Args[min(first, len(call.Args)):min(first+count, len(call.Args))] {
		name, isConstant := constantString(argument)
		if identifier, isIdentifier := argument.(*ast.Ident); isIdentifier {
			name, isConstant = constants[identifier.Name], constants[identifier.Name] != ""
		}
		program, within := strings.CutPrefix(folder, "cmd/")
		switch {
		case !isConstant:
		case isTest:
			put(i.testFlags, folder, name)
		case within:
			put(i.programs, strings.Split(program, "/")[0], name)
		}
	}
}

// constantStrings returns the string constants of a file by name.
func constantStrings(file *ast.File) map[string]string {
	found := make(map[string]string)
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isSpec := node.(*ast.ValueSpec)
		if !isSpec {
			return true
		}
		for at, name := range spec.Names {
			if at < len(spec.Values) {
				if text, isConstant := constantString(spec.Values[at]); isConstant {
					found[name.Name] = text
				}
			}
		}
		return true
	})
	return found
}

// sharedFlags is the file of package settings that declares the flags of both daemons.
const sharedFlags = "settings/overrides.go"

var (
	sharedFlag = regexp.MustCompile(`\{name: ("[a-z-]+").*?(?:role: Role(\w+))?\},?\n`)
	sharedList = regexp.MustCompile(`flags\.String\w+Var\([^,]+, ("[a-z-]+"),`)
)

func (i *inventory) addSharedFlags(root fs.FS) error {
	text, err := fs.ReadFile(root, sharedFlags)
	if err != nil {
		return err
	}
	for _, match := range sharedFlag.FindAllStringSubmatch(string(text), -1) {
		name, err := strconv.Unquote(match[1])
		if err != nil {
			return err
		}
		for _, role := range []string{"Control", "Gateway"} {
			if match[2] == "" || match[2] == role {
				put(i.programs, "deckpulley-"+strings.ToLower(role), name)
			}
		}
	}
	for _, match := range sharedList.FindAllStringSubmatch(string(text), -1) {
		name, err := strconv.Unquote(match[1])
		if err != nil {
			return err
		}
		put(i.programs, "deckpulley-control", name)
		if name != "initial-control" { // a gateway forms no group
			put(i.programs, "deckpulley-gateway", name)
		}
	}
	return nil
}

// hasPath reports whether a file or folder matches the pattern, in which * matches any
// part of one path element.
func (i *inventory) hasPath(pattern string) bool {
	pattern = strings.TrimSuffix(pattern, "/")
	if !strings.Contains(pattern, "*") {
		return i.paths[pattern]
	}
	for name := range i.paths {
		if matched, err := path.Match(pattern, name); err == nil && matched {
			return true
		}
	}
	return false
}

// hasTest reports whether a folder declares the test and, if subtest is not empty, has a
// subtest of that name. An empty folder selects all folders.
func (i *inventory) hasTest(folder, name, subtest string) bool {
	for _, declared := range i.tests[name] {
		if folder != "" && folder != declared {
			continue
		}
		if subtest == "" || i.literals[declared][subtest] || i.literals[declared][strings.ReplaceAll(subtest, "_", " ")] {
			return true
		}
	}
	return false
}

func put[K comparable](sets map[K]map[string]bool, key K, value string) {
	if sets[key] == nil {
		sets[key] = make(map[string]bool)
	}
	sets[key][value] = true
}

func addAll(set map[string]bool, values []string) {
	for _, value := range values {
		set[value] = true
	}
}
