#!/usr/bin/env python3
"""Generate the C code of messages from schema/*.json.

Run without arguments it writes packages/proto/include/proto/messages.h,
packages/proto/include/proto/gen/ and packages/proto/src/gen/.  With --check
it writes nothing and exits non-zero when the committed code differs.
docs/design/schema.md describes the form of a schema file.
"""

import json
import re
import sys

import generate

HEADER_DIR = "packages/proto/include/proto"
SOURCE_DIR = "packages/proto/src/gen"
NOT_MESSAGES = {"settings.json"}

SCALARS = {"u8": "uint8_t", "u16": "uint16_t", "u32": "uint32_t",
           "u64": "uint64_t", "i64": "int64_t", "bool": "bool",
           "digest": "struct digest"}
SIZED = {"str", "bytes", "text", "list"}
REFERRING = {"enum", "struct", "list"}
TYPES = set(SCALARS) | SIZED | REFERRING

LOWER = re.compile(r"[a-z][a-z0-9_]*\Z")
UPPER = re.compile(r"[A-Z][A-Z0-9_]*\Z")
KEYWORDS = {"auto", "break", "case", "char", "const", "continue", "default",
            "do", "double", "else", "enum", "extern", "float", "for", "goto",
            "if", "inline", "int", "long", "register", "restrict", "return",
            "short", "signed", "sizeof", "static", "struct", "switch",
            "typedef", "union", "unsigned", "void", "volatile", "while",
            "bool", "true", "false"}
# Names of MSG_ constants in <sys/socket.h>, and MSG_NONE; a message with one
# of these names would redefine the constant.
SOCKET_FLAGS = {"oob", "peek", "dontroute", "ctrunc", "proxy", "trunc",
                "dontwait", "eor", "waitall", "fin", "syn", "confirm", "rst",
                "errqueue", "nosignal", "more", "waitforone", "batch",
                "zerocopy", "fastopen", "none"}
ENUM_VALUES_MAX = 256
ID_MAX = 255


class Schema:
    """Merges and validates all schema files."""

    def __init__(self):
        self.files = {}
        self.enums = {}
        self.structs = {}
        self.messages = {}
        self.errors = []

    def error(self, subject, what):
        self.errors.append(f"schema/{subject}.json: {what}")

    def load(self):
        for path in sorted(generate.root().glob("schema/*.json")):
            if path.name in NOT_MESSAGES:
                continue
            try:
                data = json.loads(path.read_text())
            except ValueError as e:
                self.error(path.stem, f"is not valid JSON: {e}")
                continue
            self.files[path.stem] = data
            self.collect(path.stem, data)
        for subject, data in self.files.items():
            self.check_file(subject, data)
        if not self.errors:
            self.order = self.order_structs()
        if self.errors:
            sys.exit("\n".join(self.errors))

    def collect(self, subject, data):
        """Register the definitions of a file by name, with the file's name."""
        for unknown in set(data) - {"doc", "enums", "structs", "messages"}:
            self.error(subject, f"unknown key {unknown}")
        for kind in ("enums", "structs", "messages"):
            known = getattr(self, kind)
            for item in data.get(kind, []):
                name = item.get("name", "")
                if name in known:
                    self.error(subject, f"{name} is also defined in "
                               f"schema/{known[name][0]}.json; rename one")
                known[name] = (subject, item)

    def check_file(self, subject, data):
        if not data.get("doc"):
            self.error(subject, "has no doc")
        for item in data.get("enums", []):
            self.check_enum(subject, item)
        for item in data.get("structs", []) + data.get("messages", []):
            self.check_fields(subject, item)
        for item in data.get("messages", []):
            self.check_id(subject, item)

    def check_name(self, subject, name, where):
        if not LOWER.match(name) or name in KEYWORDS:
            self.error(subject, f"{where}: \"{name}\" is not a valid name")

    def check_keys(self, subject, item, where, needed, allowed=()):
        for key in needed:
            if key not in item:
                self.error(subject, f"{where}: has no {key}")
        for key in set(item) - set(needed) - set(allowed):
            self.error(subject, f"{where}: unknown key {key}")

    def check_enum(self, subject, item):
        name = item.get("name", "")
        self.check_name(subject, name, "enum")
        self.check_keys(subject, item, name,
                        ("name", "prefix", "doc", "values"))
        if not UPPER.match(item.get("prefix", "")):
            self.error(subject, f"{name}: prefix must be upper case")
        values = [v.get("name", "") for v in item.get("values", [])]
        if not 0 < len(values) <= ENUM_VALUES_MAX:
            self.error(subject, f"{name}: needs 1 to {ENUM_VALUES_MAX} values")
        if len(set(values)) != len(values):
            self.error(subject, f"{name}: duplicate value")
        for v in item.get("values", []):
            self.check_keys(subject, v, name, ("name", "doc"))

    def check_id(self, subject, item):
        name, number = item.get("name", ""), item.get("id")
        if name in SOCKET_FLAGS:
            self.error(subject, f"{name}: MSG_{name.upper()} is defined by "
                       "<sys/socket.h> or reserved; rename the message")
        if not isinstance(number, int) or not 0 < number <= ID_MAX:
            self.error(subject, f"{name}: id must be 1 to {ID_MAX}")
        for other, (where, m) in self.messages.items():
            if other != name and m.get("id") == number:
                self.error(subject, f"{name}: id {number} is already used "
                           f"by {other} in schema/{where}.json")

    def check_fields(self, subject, item):
        name = item.get("name", "")
        self.check_name(subject, name, "struct or message")
        self.check_keys(subject, item, name, ("name", "doc", "fields"),
                        ("id",))
        members = []
        for f in item.get("fields", []):
            where = f"{name}.{f.get('name', '')}"
            self.check_field(subject, f, where)
            members += [m for _, m in c_members(self, f)]
        if not members:
            self.error(subject, f"{name}: has no fields")
        for m in {m for m in members if members.count(m) > 1}:
            self.error(subject, f"{name}: duplicate member {m}")

    def check_field(self, subject, f, where):
        kind = f.get("type", "")
        self.check_name(subject, f.get("name", ""), where)
        if kind not in TYPES:
            self.error(subject, f"{where}: unknown type \"{kind}\"")
            return
        needed = ["name", "type", "doc"]
        if kind in SIZED:
            needed.append("max")
        if kind in REFERRING:
            needed.append("of")
        self.check_keys(subject, f, where, needed)
        most = f.get("max", 1)
        if not isinstance(most, int) or not 0 < most < 1 << 24:
            self.error(subject, f"{where}: max must be 1 to 16777215")
        if kind in REFERRING and not self.known(kind, f.get("of", "")):
            self.error(subject, f"{where}: \"{f.get('of', '')}\" is not "
                       "defined in any schema file")

    def known(self, kind, of):
        if kind == "enum":
            return of in self.enums
        if kind == "struct":
            return of in self.structs
        return of in SCALARS or of in self.enums or of in self.structs

    def order_structs(self):
        """Return the names of structs, each after the structs it contains."""
        done, order = set(), []

        def visit(name, path):
            if name in path:
                self.error(self.structs[name][0],
                           f"{name} contains itself through {path[-1]}")
                return
            if name in done:
                return
            for f in self.structs[name][1]["fields"]:
                if f.get("of") in self.structs:
                    visit(f["of"], path + [name])
            done.add(name)
            order.append(name)

        for name in self.structs:
            visit(name, [])
        return order

    def file_structs(self, subject):
        return [self.structs[n][1] for n in self.order
                if self.structs[n][0] == subject]

    def needs(self, subject):
        """Return the subjects whose headers this subject's header includes."""
        needed = set()
        data = self.files[subject]
        for item in data.get("structs", []) + data.get("messages", []):
            for f in item["fields"]:
                for known in (self.enums, self.structs):
                    if f.get("of") in known:
                        needed.add(known[f["of"]][0])
        return sorted(needed - {subject})


def item_type(schema, of):
    """Return the C type of a list's element or of an enum or struct field."""
    if of in SCALARS:
        return SCALARS[of]
    return f"enum {of}" if of in schema.enums else f"struct rec_{of}"


def c_members(schema, f):
    """Return (declaration, name) of each C member generated for a field."""
    name, kind = f.get("name", ""), f.get("type", "")
    if kind in SCALARS:
        return [(f"{SCALARS[kind]} {name}", name)]
    if kind == "str":
        return [(f"char {name}[{f.get('max', 0) + 1}]", name)]
    if kind == "bytes" or kind == "text":
        base = "uint8_t" if kind == "bytes" else "char"
        return [(f"const {base} *{name}", name),
                (f"uint32_t {name}_len", f"{name}_len")]
    if kind == "list":
        return [(f"{item_type(schema, f.get('of', ''))} *{name}", name),
                (f"uint32_t n_{name}", f"n_{name}")]
    return [(f"{item_type(schema, f.get('of', ''))} {name}", name)]


NOTES = {"bytes": "; borrowed", "text": "; borrowed, not zero-terminated",
         "list": "; owned"}


def c_struct(schema, item, prefix):
    tag = f"{prefix}_{item['name']}"
    lines = [f"struct {tag} - {item['doc']}"]
    members = []
    for f in item["fields"]:
        parts = c_members(schema, f)
        members += [f"\t{decl};" for decl, _ in parts]
        lines.append(f"@{parts[0][1]}: {f['doc']}{NOTES.get(f['type'], '')}")
        for _, name in parts[1:]:
            unit = ("number of elements in" if f["type"] == "list"
                    else "number of bytes in")
            lines.append(f"@{name}: {unit} @{f['name']}")
    return "\n".join([generate.kernel_doc(lines), f"struct {tag} {{", *members,
                      "};", ""])


def c_maxima(item, prefix):
    head = f"{prefix}_{item['name']}".upper()
    return [f"#define {head}_{f['name'].upper()}_MAX {f['max']}"
            for f in item["fields"] if f["type"] in SIZED]


def c_enum(item):
    prefix, name = item["prefix"], item["name"]
    lines = [f"enum {name} - {item['doc']}"]
    lines += [f"@{prefix}_{v['name'].upper()}: {v['doc']}"
              for v in item["values"]]
    values = [f"\t{prefix}_{v['name'].upper()}{' = 0' if i == 0 else ''},"
              for i, v in enumerate(item["values"])]
    doc = generate.kernel_doc(
        [f"{name}_name() - name of a value, as used in logs and JSON"])
    return "\n".join([
        generate.kernel_doc(lines), f"enum {name} {{", *values, "};", "",
        f"#define {prefix}_VALUES {len(values)}", "",
        doc, f"const char *{name}_name(enum {name} v);", ""])


def c_message(schema, item):
    name = item["name"]
    docs = [f"msg_{name}_encode() - append the encoded message to @out",
            f"msg_{name}_decode() - decode a message; see codec_decode()",
            f"msg_{name}_clear() - free the message's lists and zero the "
            "message"]
    return "\n".join([
        c_struct(schema, item, "msg"),
        f"extern const struct codec_desc msg_{name}_desc;", "",
        generate.kernel_doc(docs[:1]),
        f"void msg_{name}_encode(const struct msg_{name} *m, "
        "GByteArray *out);", "",
        generate.kernel_doc(docs[1:2]),
        f"enum status msg_{name}_decode(const uint8_t *data, size_t len, "
        f"struct msg_{name} *m);", "",
        generate.kernel_doc(docs[2:]),
        f"void msg_{name}_clear(struct msg_{name} *m);", ""])


def header(schema, subject):
    data = schema.files[subject]
    guard = f"PROTO_GEN_{subject.upper()}_H"
    structs = schema.file_structs(subject)
    messages = data.get("messages", [])
    out = [generate.comment([data["doc"], "",
                             f"Generated by tools/gen_messages.py from "
                             f"schema/{subject}.json."]),
           f"#ifndef {guard}", f"#define {guard}", "",
           "#include <stdbool.h>", "#include <stddef.h>",
           "#include <stdint.h>", "", "#include <glib.h>", "",
           '#include "base/hash.h"', '#include "base/status.h"',
           '#include "proto/codec.h"']
    out += [f'#include "proto/gen/{n}.h"' for n in schema.needs(subject)]
    out.append("")
    maxima = [line for s in structs for line in c_maxima(s, "rec")]
    maxima += [line for m in messages for line in c_maxima(m, "msg")]
    if maxima:
        out += ["/* Maximum bytes of a text or binary field, maximum elements "
                "of a list. */", *maxima, ""]
    out += [c_enum(e) for e in data.get("enums", [])]
    for s in structs:
        out += [c_struct(schema, s, "rec"),
                f"extern const struct codec_desc rec_{s['name']}_desc;", ""]
    out += [c_message(schema, m) for m in messages]
    out += ["#endif", ""]
    return "\n".join(out)


def c_names(item):
    name = item["name"]
    values = [f'[{item["prefix"]}_{v["name"].upper()}] = "{v["name"]}",'
              for v in item["values"]]
    return "\n".join([
        f"static const char *const {name}_names[] = {{", *values, "};", "",
        f"const char *{name}_name(enum {name} v)", "{",
        f"return codec_value_name({name}_names, {item['prefix']}_VALUES, "
        "(uint32_t)v);", "}", ""])


def c_field(schema, tag, f):
    """Return the initialiser of one struct codec_field."""
    name, kind = f["name"], f["type"]
    parts = [f'.name = "{name}"', f".kind = CODEC_{kind.upper()}",
             f".offset = offsetof(struct {tag}, {name})"]
    if kind in ("bytes", "text"):
        parts.append(f".len_offset = offsetof(struct {tag}, {name}_len)")
    if kind == "list":
        parts.append(f".len_offset = offsetof(struct {tag}, n_{name})")
    if kind in SIZED:
        parts.append(f".max = {tag.upper()}_{name.upper()}_MAX")
    if kind == "enum":
        prefix = schema.enums[f["of"]][1]["prefix"]
        parts.append(f".values = {prefix}_VALUES")
    if kind == "struct":
        parts.append(f".of = &rec_{f['of']}_desc")
    if kind == "list":
        parts += c_item(schema, f["of"])
    return "{" + ", ".join(parts) + "},"


def c_item(schema, of):
    parts = [f".item_bytes = sizeof({item_type(schema, of)})"]
    if of in SCALARS:
        return parts + [f".item = CODEC_{of.upper()}"]
    if of in schema.enums:
        prefix = schema.enums[of][1]["prefix"]
        return parts + [".item = CODEC_ENUM", f".values = {prefix}_VALUES"]
    return parts + [".item = CODEC_STRUCT", f".of = &rec_{of}_desc"]


def c_desc(schema, item, prefix):
    tag = f"{prefix}_{item['name']}"
    fields = [c_field(schema, tag, f) for f in item["fields"]]
    return "\n".join([
        f"static const struct codec_field {tag}_fields[] = {{", *fields, "};",
        "", f"const struct codec_desc {tag}_desc = {{",
        f'.name = "{item["name"]}", .fields = {tag}_fields, '
        f".n_fields = {len(fields)}, .size_bytes = sizeof(struct {tag})}};",
        ""])


def c_functions(item):
    tag = f"msg_{item['name']}"
    return "\n".join([
        f"void {tag}_encode(const struct {tag} *m, GByteArray *out)", "{",
        f"codec_encode(&{tag}_desc, m, out);", "}", "",
        f"enum status {tag}_decode(const uint8_t *data, size_t len, "
        f"struct {tag} *m)", "{",
        f"return codec_decode(&{tag}_desc, data, len, m);", "}", "",
        f"void {tag}_clear(struct {tag} *m)", "{",
        f"codec_clear(&{tag}_desc, m);", "}", ""])


def source(schema, subject):
    data = schema.files[subject]
    out = [generate.comment(["Codec tables and functions of "
                             f"proto/gen/{subject}.h.",
                             "", "Generated by tools/gen_messages.py from "
                             f"schema/{subject}.json."]),
           f'#include "proto/gen/{subject}.h"', ""]
    out += [c_names(e) for e in data.get("enums", [])]
    out += [c_desc(schema, s, "rec") for s in schema.file_structs(subject)]
    for m in data.get("messages", []):
        out += [c_desc(schema, m, "msg"), c_functions(m)]
    return "\n".join(out)


def messages_header(schema, messages):
    out = [generate.comment([
        "Messages between nodes and their type bytes.", "",
        "Generated by tools/gen_messages.py from schema/."]),
        "#ifndef PROTO_MESSAGES_H", "#define PROTO_MESSAGES_H", "",
        '#include "proto/codec.h"']
    out += [f'#include "proto/gen/{s}.h"' for s in sorted(schema.files)]
    lines = ["enum msg_type - type byte of a message",
             "@MSG_NONE: no message"]
    lines += [f"@MSG_{m['name'].upper()}: {m['doc']}" for m in messages]
    out += ["", generate.kernel_doc(lines), "enum msg_type {",
            "\tMSG_NONE = 0,"]
    out += [f"\tMSG_{m['name'].upper()} = {m['id']}," for m in messages]
    out += ["};", "",
            generate.kernel_doc([
                "msg_type_name() - name of a message type, as used in logs",
                "@type: the type byte; may be unknown", "",
                'Return: a static string, "unknown" for an unknown type.']),
            "const char *msg_type_name(unsigned int type);", "",
            generate.kernel_doc([
                "msg_desc() - codec table of a message type",
                "@type: the type byte; may be unknown", "",
                "Return: the table, NULL for an unknown type."]),
            "const struct codec_desc *msg_desc(unsigned int type);", "",
            "#endif", ""]
    return "\n".join(out)


def messages_source(messages):
    rows = [f"[MSG_{m['name'].upper()}] = &msg_{m['name']}_desc,"
            for m in messages]
    return "\n".join([
        generate.comment(["Codec tables of all messages by type byte.", "",
                          "Generated by tools/gen_messages.py from schema/."]),
        '#include "proto/messages.h"', "",
        "static const struct codec_desc *const descs[] = {",
        "[MSG_NONE] = NULL,", *rows, "};", "",
        "const struct codec_desc *msg_desc(unsigned int type)", "{",
        "return type < G_N_ELEMENTS(descs) ? descs[type] : NULL;", "}", "",
        "const char *msg_type_name(unsigned int type)", "{",
        "const struct codec_desc *desc = msg_desc(type);", "",
        'return desc != NULL ? desc->name : "unknown";', "}", ""])


def outputs(schema):
    messages = sorted((m for _, m in schema.messages.values()),
                      key=lambda m: m["id"])
    files = {f"{HEADER_DIR}/messages.h": messages_header(schema, messages),
             f"{SOURCE_DIR}/messages.c": messages_source(messages)}
    for subject in schema.files:
        files[f"{HEADER_DIR}/gen/{subject}.h"] = header(schema, subject)
        files[f"{SOURCE_DIR}/{subject}.c"] = source(schema, subject)
    return files


def main():
    schema = Schema()
    schema.load()
    owned = [f"{HEADER_DIR}/gen/*.h", f"{SOURCE_DIR}/*.c"]
    return generate.finish(sys.argv, "tools/gen_messages.py",
                           outputs(schema), owned)


if __name__ == "__main__":
    sys.exit(main())
