"""Starts a program with garbage collection disabled during imports, because every imported module stays in use."""

import gc
import importlib

if __name__ == '__main__':
    gc.disable()
    importlib.import_module('tamarackfield.platform.main').main()
