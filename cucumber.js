export default {
    paths: ["features/**/*.feature"],
    import: ["features/steps/**/*.ts"],
    format: ["summary"],
    publishQuiet: true,
};
