import * as js from "@eslint/js";
import * as jsdoc from "eslint-plugin-jsdoc";
import * as typescriptEslint from "typescript-eslint";

const namespaceImportsOnly = [
  {
    selector: "ImportDeclaration > ImportSpecifier",
    message: "Import the module as a namespace: import * as name from ...",
  },
  {
    selector: "ImportDeclaration > ImportDefaultSpecifier",
    message: "Import the module as a namespace: import * as name from ...",
  },
];

export default typescriptEslint.config(
  { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
  js.default.configs.recommended,
  ...typescriptEslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: {
          allowDefaultProject: [
            "*.js",
            "packages/*/bin/*.mjs",
            "platform/build.mjs",
            "platform/launch.cjs",
          ],
        },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    plugins: { jsdoc: jsdoc.default },
    rules: {
      "no-restricted-syntax": ["error", ...namespaceImportsOnly],
      eqeqeq: "error",
      "prefer-const": "error",
      "func-style": ["error", "declaration", { allowArrowFunctions: true }],
      "@typescript-eslint/switch-exhaustiveness-check": [
        "error",
        { considerDefaultExhaustiveForUnions: true },
      ],
      "@typescript-eslint/no-floating-promises": "error",
      "@typescript-eslint/require-await": "off",
      "@typescript-eslint/no-unused-vars": [
        "error",
        { argsIgnorePattern: "^_" },
      ],
      "@typescript-eslint/naming-convention": [
        "error",
        { selector: "typeLike", format: ["PascalCase"] },
        { selector: "enumMember", format: ["PascalCase"] },
        { selector: "function", format: ["camelCase"] },
      ],
      "jsdoc/require-jsdoc": [
        "error",
        {
          publicOnly: true,
          require: {
            FunctionDeclaration: true,
            ClassDeclaration: true,
            MethodDefinition: true,
          },
          contexts: [
            "ExportNamedDeclaration > TSInterfaceDeclaration",
            "ExportNamedDeclaration > TSTypeAliasDeclaration",
            "ExportNamedDeclaration > TSEnumDeclaration",
          ],
          checkConstructors: false,
        },
      ],
    },
  },
  {
    files: ["**/*.js", "**/*.mjs"],
    extends: [typescriptEslint.configs.disableTypeChecked],
    languageOptions: { globals: { process: "readonly" } },
  },
);
