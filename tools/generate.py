"""Helpers of the generators: comments, formatting, writing and checking."""

import pathlib
import subprocess
import textwrap

WIDTH = 76


def root():
    """Top directory of the repository."""
    return pathlib.Path(__file__).resolve().parent.parent


def comment(paragraphs):
    """Return a plain block comment for the top of a file."""
    return block("/*", paragraphs)


def kernel_doc(lines):
    """Return a kernel-doc comment with a hanging indent for @ lines."""
    if len(lines) == 1 and len(lines[0]) <= WIDTH - 4:
        return f"/** {lines[0]} */"
    return block("/**", lines)


def block(opening, paragraphs):
    out = [opening]
    for p in paragraphs:
        later = "\t" if p.startswith("@") else ""
        width = WIDTH - (8 if later else 0)
        rows = textwrap.wrap(p, width, break_long_words=False,
                             break_on_hyphens=False) or [""]
        out.append(f" * {rows[0]}".rstrip())
        out += [f" * {later}{r}" for r in rows[1:]]
    out.append(" */")
    return "\n".join(out)


def formatted(path, text):
    """Return the text formatted by clang-format; Markdown is unchanged."""
    if path.endswith(".md"):
        return text
    run = subprocess.run(
        ["clang-format", f"--assume-filename={path}"], input=text,
        capture_output=True, text=True, check=True, cwd=root())
    return run.stdout


def finish(argv, program, files, owned):
    """Write the files, or with --check compare them; return the exit code.

    owned lists glob patterns; files that match a pattern and were written by
    this generator, but are no longer generated, are removed.
    """
    check = "--check" in argv[1:]
    stale = [p for pattern in owned for p in sorted(root().glob(pattern))
             if str(p.relative_to(root())) not in files and
             program in p.read_text()]
    differing = [str(p.relative_to(root())) for p in stale]
    for path, raw in sorted(files.items()):
        text, target = formatted(path, raw), root() / path
        if target.exists() and target.read_text() == text:
            continue
        differing.append(path)
        if not check:
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_text(text)
    if not check:
        for p in stale:
            p.unlink()
    for path in differing:
        print(f"{path}: {'differs from its schema' if check else 'written'}")
    if check and differing:
        print(f"Run python3 {program} and commit what it writes.")
        return 1
    return 0
