"""Starts a program without collecting garbage while its modules are imported: all of them stay in use."""

import gc
import importlib

if __name__ == '__main__':
    gc.disable()
    importlib.import_module('tamarackfield.platform.main').main()
