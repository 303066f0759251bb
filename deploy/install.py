"""Installs the dependencies of a node into target/deps, unless they are there.

What is there counts only if a stamp says so, which is written last and names the
requirements, the interpreter and the kind of machine, and each file with its size. A
new installation is made beside the old one and takes its place whole.
"""

import fcntl
import hashlib
import json
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import sysconfig

ROOT = pathlib.Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
TARGET = ROOT / "target"
INSTALLED = TARGET / "deps"
NEW = TARGET / "deps.new"
OLD = TARGET / "deps.old"
LOCK = TARGET / "deps.lock"
STAMP = ".stamp.json"
# The interpreter may write these at any time.
CACHE_FOLDER = "__pycache__"
# Imports all modules of a folder, which fails on another kind of machine.
IMPORT_PROGRAM = """
import importlib, sys
sys.path.insert(0, sys.argv[1])
for name in sys.argv[2:]:
    importlib.import_module(name)
"""


def main():
    """Install what is missing; return the exit status."""
    TARGET.mkdir(exist_ok=True)
    with open(LOCK, "w", encoding="utf-8") as lock:
        # Two builds at a time would remove each other's files.
        fcntl.flock(lock, fcntl.LOCK_EX)
        purpose = describe_purpose()
        if is_complete(INSTALLED, purpose):
            return 0
        for folder in (NEW, OLD):
            remove(folder)
        if not install(NEW):
            return 1
        write_stamp(NEW, purpose)
        replace(INSTALLED, NEW)
    return 0


def describe_purpose():
    """Return what an installation is for: requirements, interpreter and machine."""
    return {
        "requirements": hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest(),
        "interpreter": f"{sys.implementation.cache_tag} {sys.version.split()[0]}",
        "binaries": sysconfig.get_config_var("SOABI"),
        "machine": f"{sysconfig.get_platform()} {platform.machine()}",
    }


def is_complete(folder, purpose):
    """Return whether a folder has a whole installation for a purpose."""
    try:
        stamp = json.loads((folder / STAMP).read_text(encoding="utf-8"))
        return stamp == {"purpose": purpose, "files": list_files(folder)}
    except (OSError, ValueError):
        return False


def install(folder):
    """Install the requirements into a new folder; return whether they can be used."""
    command = [sys.executable, "-m", "pip", "install", "-q"]
    command += ["--disable-pip-version-check", "--target", str(folder)]
    if subprocess.run([*command, "-r", str(REQUIREMENTS)]).returncode:
        print("install: pip failed, target/deps is unchanged", file=sys.stderr)
        return False
    folder.mkdir(exist_ok=True)
    command = [sys.executable, "-S", "-c", IMPORT_PROGRAM, str(folder)]
    if subprocess.run([*command, *list_modules(folder)]).returncode:
        print("install: modules can't be imported, see above", file=sys.stderr)
        return False
    return True


def list_modules(folder):
    """Return the names of the modules and packages at the top of a folder."""
    names = set()
    for path in folder.iterdir():
        if path.suffix in (".py", ".so") or (path / "__init__.py").exists():
            names.add(path.name.partition(".")[0])
    return sorted(names)


def list_files(folder):
    """Return the size of each file in a folder by its path, without caches."""
    sizes = {}
    for parent, folders, files in os.walk(folder):
        if CACHE_FOLDER in folders:
            folders.remove(CACHE_FOLDER)
        for name in files:
            path = pathlib.Path(parent, name)
            if name != STAMP:
                sizes[str(path.relative_to(folder))] = path.stat().st_size
    return sizes


def write_stamp(folder, purpose):
    """Write the stamp that makes an installation count, after all its files."""
    stamp = {"purpose": purpose, "files": list_files(folder)}
    (folder / STAMP).write_text(json.dumps(stamp), encoding="utf-8")


def replace(installed, new):
    """Put a new installation in the place of the present one."""
    if installed.exists() or installed.is_symlink():
        installed.rename(OLD)
    new.rename(installed)
    remove(OLD)


def remove(path):
    """Remove a folder, a file or a link, if there is one."""
    if path.is_dir() and not path.is_symlink():
        shutil.rmtree(path, ignore_errors=True)
    else:
        path.unlink(missing_ok=True)


if __name__ == "__main__":
    sys.exit(main())
