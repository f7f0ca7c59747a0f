import { readFileSync } from "node:fs";
import tseslint from "typescript-eslint";

const verbs = JSON.parse(readFileSync(new URL("./docs/verbs.json", import.meta.url), "utf8"));
const verbPattern = `^(${verbs.join("|")})([A-Z0-9].*)?$`;

export default tseslint.config(
    {
        ignores: [
            "**/dist/**",
            "**/node_modules/**",
            "out/**",
            "target/**",
            "journal/**",
            "*.mjs",
            "cucumber.js",
            "vitest.config.ts",
        ],
    },
    {
        files: ["**/*.ts"],
        extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
        languageOptions: {
            parserOptions: {
                project: ["./packages/*/tsconfig.json", "./platform/tsconfig.json", "./tsconfig.tests.json"],
                tsconfigRootDir: import.meta.dirname,
            },
        },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 80, skipBlankLines: true, skipComments: true }],
            "one-var": ["error", "never"],
            "no-var": "error",
            "prefer-const": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/consistent-type-definitions": ["error", "interface"],
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/no-confusing-void-expression": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                {
                    selector: ["function", "classMethod"],
                    format: ["camelCase"],
                    custom: { regex: verbPattern, match: true },
                },
            ],
        },
    },
    {
        files: ["**/tests/**/*.ts", "platform/soak/**/*.ts", "features/**/*.ts"],
        rules: { "max-lines-per-function": "off", "@typescript-eslint/no-non-null-assertion": "off" },
    },
);
