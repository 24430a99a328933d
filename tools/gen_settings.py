#!/usr/bin/env python3
"""Generate the settings of a node from schema/settings.json.

Run without arguments it writes packages/proto/include/proto/gen/settings.h,
packages/proto/src/gen/settings.c and docs/SETTINGS.md.  With --check it
writes nothing and exits non-zero when what is committed differs.
docs/design/schema.md describes the form of the schema.
"""

import json
import re
import sys

import generate

SCHEMA = "schema/settings.json"
HEADER = "packages/proto/include/proto/gen/settings.h"
SOURCE = "packages/proto/src/gen/settings.c"
PAGE = "docs/SETTINGS.md"

KEY = re.compile(r"[a-z][a-z0-9_]*\Z")
# A key with one of these units must end in the suffix.
UNIT_SUFFIX = {"milliseconds": "_ms", "bytes": "_bytes"}
TYPES = {"name", "ipv4", "port", "number", "url", "choice", "addresses",
         "service", "texts", "names"}
NEEDED = {"key", "type", "doc", "remedy"}
ALLOWED = {"name": {"required"}, "ipv4": {"required"}, "url": {"required"},
           "port": {"default"}, "number": {"unit", "min", "max", "default"},
           "choice": {"of", "default"}, "addresses": {"max"},
           "service": {"default"}, "texts": {"max"}, "names": {"max"}}
U32_MAX = (1 << 32) - 1
PORT_MAX = 65535


def check_setting(s, choices):
    """Return the errors of one setting in the schema."""
    key, kind = s.get("key", ""), s.get("type", "")
    if not KEY.match(key):
        return [f"\"{key}\" is not a valid key"]
    if kind not in TYPES:
        return [f"{key}: unknown type \"{kind}\""]
    wanted = NEEDED | ALLOWED[kind]
    errors = [f"{key}: has no {k}" for k in wanted - set(s)]
    errors += [f"{key}: unknown key {k}" for k in set(s) - wanted]
    if errors:
        return errors
    if kind == "number":
        suffix = UNIT_SUFFIX.get(s["unit"], "")
        if not 0 <= s["min"] <= s["default"] <= s["max"] <= U32_MAX:
            errors.append(f"{key}: needs 0 <= min <= default <= max <= "
                          f"{U32_MAX}")
        if not key.endswith(suffix):
            errors.append(f"{key}: must end in {suffix}")
    if kind == "port" and not 0 < s["default"] <= PORT_MAX:
        errors.append(f"{key}: default is not a valid port")
    if kind == "choice":
        names = [v["name"] for c in choices if c["name"] == s["of"]
                 for v in c["values"]]
        if s["default"] not in names:
            errors.append(f"{key}: default is not among {s['of']}")
    return errors


def load():
    schema = json.loads((generate.root() / SCHEMA).read_text())
    settings, choices = schema["settings"], schema["choices"]
    errors = [e for s in settings for e in check_setting(s, choices)]
    keys = [s.get("key") for s in settings]
    errors += [f"{k}: duplicate key" for k in set(keys) if keys.count(k) > 1]
    if errors:
        sys.exit("\n".join(f"{SCHEMA}: {e}" for e in errors))
    return schema


def expected(schema, s):
    """Describe the values that a setting accepts."""
    kind = s["type"]
    if kind == "name":
        return "a name of at least one character"
    if kind == "ipv4":
        return "an IPv4 address like 10.0.0.1"
    if kind == "port":
        return (f"a port number from 1 to {PORT_MAX}, or an address with "
                "such a port like 10.0.0.1:8080")
    if kind == "url":
        return "an http:// or https:// URL of at most 255 characters"
    if kind == "addresses":
        return f"a list of at most {s['max']} strings like 10.0.0.1:7400"
    if kind == "texts":
        return f"a list of at most {s['max']} strings of 1 to 127 characters"
    if kind == "names":
        return (f"a list of at most {s['max']} names, or an object with "
                "such keys")
    if kind == "service":
        return ("an empty string or a service's name without control "
                "characters and spaces at its ends")
    if kind == "choice":
        values = [f"\"{v['name']}\"" for v in choice(schema, s["of"])]
        return ", ".join(values[:-1]) + f" or {values[-1]}"
    number = f"a whole number of {s['unit']} from {s['min']} to {s['max']}"
    if s["unit"] == "milliseconds":
        return number + ", or a string like 1500ms or 2.5s"
    return number


def choice(schema, name):
    return next(c["values"] for c in schema["choices"] if c["name"] == name)


def c_members(s):
    key, kind = s["key"], s["type"]
    return {"name": [f"char {key}[NAME_ID_BYTES];"],
            "service": [f"const char *{key};"],
            "names": [f"char {key}[{s.get('max')}][NAME_ID_BYTES];",
                      f"uint32_t n_{key};"],
            "texts": [f"char {key}[{s.get('max')}][SETTINGS_TEXT_BYTES];",
                      f"uint32_t n_{key};"],
            "url": [f"char {key}[SETTINGS_URL_BYTES];"],
            "ipv4": [f"uint32_t {key};"],
            "port": [f"uint16_t {key};"],
            "number": [f"uint32_t {key};"],
            "choice": [f"enum {s.get('of')} {key};"],
            "addresses": [f"struct net_addr {key}[{s.get('max')}];",
                          f"uint32_t n_{key};"]}[kind]


def c_enum(c):
    prefix, name = c["prefix"], c["name"]
    lines = [f"enum {name} - {c['doc']}"]
    lines += [f"@{prefix}_{v['name'].upper()}: {v['doc']}"
              for v in c["values"]]
    values = [f"{prefix}_{v['name'].upper()}{' = 0' if i == 0 else ''},"
              for i, v in enumerate(c["values"])]
    return "\n".join([
        generate.kernel_doc(lines), f"enum {name} {{", *values, "};", "",
        generate.kernel_doc([f"{name}_name() - name of a value, as used in "
                             "settings files"]),
        f"const char *{name}_name(enum {name} v);", ""])


def header(schema):
    own = [c for c in schema["choices"] if "header" not in c]
    headers = sorted(c["header"] for c in schema["choices"] if "header" in c)
    lines = [f"struct settings - {schema['doc']}"]
    for s in schema["settings"]:
        lines.append(f"@{s['key']}: {s['doc']}")
        if s["type"] in ("addresses", "texts", "names"):
            lines.append(f"@n_{s['key']}: number of elements in @{s['key']}")
    members = [m for s in schema["settings"] for m in c_members(s)]
    return "\n".join([
        generate.comment([schema["doc"], "", "Generated by "
                          f"tools/gen_settings.py from {SCHEMA}."]),
        "#ifndef PROTO_GEN_SETTINGS_H", "#define PROTO_GEN_SETTINGS_H", "",
        "#include <stdint.h>", "",
        *[f'#include "{h}"' for h in headers],
        '#include "base/name_id.h"', '#include "proto/addr.h"', "",
        "/* Sizes of strings, including the terminating zero. */",
        "#define SETTINGS_URL_BYTES 256",
        "#define SETTINGS_TEXT_BYTES 128",
        "", *[c_enum(c) for c in own], generate.kernel_doc(lines),
        "struct settings {", *members, "};", "", "#endif", ""])


def c_names(c):
    rows = [f'[{c["prefix"]}_{v["name"].upper()}] = "{v["name"]}",'
            for v in c["values"]]
    out = [f"static const char *const {c['name']}_names[] = {{", *rows, "};",
           ""]
    if "header" not in c:
        out += [f"const char *{c['name']}_name(enum {c['name']} v)", "{",
                f"return codec_value_name({c['name']}_names, "
                f"G_N_ELEMENTS({c['name']}_names), (uint32_t)v);", "}", ""]
    return "\n".join(out)


def c_string(text):
    """Return a string literal, split into pieces so that lines stay short."""
    pieces, row = [], ""
    for word in re.findall(r"\S+\s*", text):
        if row and len(row) + len(word) > 56:
            pieces.append(row)
            row = ""
        row += word
    return "\n".join(json.dumps(p) for p in pieces + [row])


def c_row(schema, s):
    key, kind = s["key"], s["type"]
    parts = [f'.name = "{key}"', f".type = SETTINGS_{kind.upper()}",
             f".offset = offsetof(struct settings, {key})",
             f".expected = {c_string(expected(schema, s))}",
             f".remedy = {c_string(s['remedy'])}"]
    if s.get("required"):
        parts.append(".required = 1")
    if kind == "port":
        parts += [".min = 1", f".max = {PORT_MAX}",
                  f".initial = {s['default']}"]
    if kind == "number":
        parts += [f".min = {s['min']}", f".max = {s['max']}U",
                  f".initial = {s['default']}"]
    if kind in ("addresses", "texts", "names"):
        parts += [f".max = {s['max']}",
                  f".count_offset = offsetof(struct settings, n_{key})"]
    if kind == "choice":
        prefix = next(c["prefix"] for c in schema["choices"]
                      if c["name"] == s["of"])
        parts += [f".initial = {prefix}_{s['default'].upper()}",
                  f".choices = {s['of']}_names",
                  f".n_choices = G_N_ELEMENTS({s['of']}_names)"]
    return "{" + ",\n".join(parts) + "},"


def source(schema):
    return "\n".join([
        generate.comment(["Table of the settings.", "", "Generated by "
                          f"tools/gen_settings.py from {SCHEMA}."]),
        "#include <stddef.h>", "", "#include <glib.h>", "",
        '#include "proto/codec.h"', '#include "proto/settings_key.h"', "",
        *[c_names(c) for c in schema["choices"]],
        "const struct settings_key settings_keys[] = {",
        *[c_row(schema, s) for s in schema["settings"]], "};", "",
        "const uint32_t n_settings_keys = G_N_ELEMENTS(settings_keys);", ""])


def page_row(schema, s):
    if s.get("required"):
        default = "required"
    elif s["type"] in ("addresses", "texts", "names"):
        default = "`[]`"
    else:
        default = f"`{json.dumps(s['default'])}`"
    takes = expected(schema, s)
    return f"| `{s['key']}` | {takes} | {default} | {s['doc']} |"


PAGE_INTRO = """\
# Settings

`bramleydrift --settings FILE` reads one JSON object with the keys below, once
at startup. `bramleydrift --settings FILE --print-settings` prints the
settings in effect, including defaults.

All errors in a file are reported together, each with the file, the key, the
expected value and a remedy: an unknown key (with the nearest known key), a
wrong type, a value out of range, a missing key, a duplicate key. The four
ports must differ, and `probe_timeout_ms` must be shorter than
`probe_interval_ms`.

This page is generated by `tools/gen_settings.py` from `schema/settings.json`.

| key | value | default | description |
|---|---|---|---|
"""


def page(schema):
    rows = [page_row(schema, s) for s in schema["settings"]]
    return PAGE_INTRO + "\n".join(rows) + "\n"


def main():
    schema = load()
    files = {HEADER: header(schema), SOURCE: source(schema),
             PAGE: page(schema)}
    return generate.finish(sys.argv, "tools/gen_settings.py", files, [])


if __name__ == "__main__":
    sys.exit(main())
